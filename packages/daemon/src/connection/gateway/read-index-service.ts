import {type Logger, type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {type GroupView} from '../../request/group-view.js';
import {type ReadIndex, type ReadIndexSource} from '../../request/routing/read-index-source.js';
import {type TermConfirmation} from '../../request/term-confirmation.js';
import {PeerMessageKind, type PeerNetwork} from '../peer-network.js';
import {primaryChangedSchema, readIndexRequestSchema, readIndexReplySchema} from './upstream-messages.js';

/** Time limit of a request to one owner, after which the next owner is tried, in milliseconds. */
const peerTimeoutMilliseconds = 100;

/** Maximum number of hosts notified of a new primary. In a larger fleet, the others learn it with their next request. */
const maximumNotifiedHosts = 32;

/** Dependencies of `ReadIndexService`. */
export type ReadIndexServiceOptions = {
	readonly groupView: GroupView;
	readonly termConfirmation: TermConfirmation;
	readonly peerNetwork: PeerNetwork;
	/** Returns whether this host polls the members of a group. */
	readonly isMonitored: (group: string) => boolean;
	/** Returns the other hosts that own a member of a group, nearest first. */
	readonly getOwners: (group: string) => readonly string[];
	/** Returns the names of the other live hosts. */
	readonly getOtherHosts: () => readonly string[];
	readonly timerService: TimerService;
	readonly logger: Logger;
};

/** Provides read indexes, either by confirming the primary locally or by requesting one from an owner of a group member. */
export class ReadIndexService implements ReadIndexSource, Disposable {
	readonly #options: ReadIndexServiceOptions;
	readonly #subscription: Disposable;

	/**
	 * @param options - Dependencies of the service.
	 */
	constructor(options: ReadIndexServiceOptions) {
		this.#options = options;
		this.#subscription = options.groupView.subscribe((group, primary) => {
			if (options.isMonitored(group)) {
				for (const host of options.getOtherHosts().slice(0, maximumNotifiedHosts)) {
					options.peerNetwork.notify(host, PeerMessageKind.PrimaryChanged, {group, primary});
				}
			}
		});
	}

	/** Registers the handlers for messages from other hosts. */
	register(): void {
		const {groupView, isMonitored, peerNetwork} = this.#options;
		peerNetwork.handle(PeerMessageKind.ReadIndex, async body => {
			const {group, timeoutMilliseconds} = readIndexRequestSchema.parse(body);
			const readIndex = await this.#confirm(group, timeoutMilliseconds);
			return readIndex.isOk() ? readIndex.value : {error: readIndex.error};
		});
		peerNetwork.handle(PeerMessageKind.PrimaryChanged, async body => {
			const {group, primary} = primaryChangedSchema.parse(body);
			// A host that polls the group detects the primary itself, so a wrong message cannot affect its confirmations.
			if (!isMonitored(group)) {
				groupView.learnPrimary(group, primary);
			}
		});
	}

	/** @inheritdoc */
	async request(group: string, timeoutMilliseconds: number): Promise<Result<ReadIndex, string>> {
		if (this.#options.isMonitored(group)) {
			return this.#confirm(group, timeoutMilliseconds);
		}

		const deadline = this.#options.timerService.now() + timeoutMilliseconds;
		let lastResult: Result<ReadIndex, string> = err(`no host serves group "${group}"`);
		for (const owner of this.#options.getOwners(group)) {
			const remaining = deadline - this.#options.timerService.now();
			if (remaining <= 0) {
				break;
			}

			lastResult = await this.#requestFromPeer(owner, group, Math.min(peerTimeoutMilliseconds, remaining));
			if (lastResult.isOk()) {
				break;
			}
		}

		return lastResult;
	}

	/** Unsubscribes from the group view. */
	[Symbol.dispose](): void {
		this.#subscription[Symbol.dispose]();
	}

	async #requestFromPeer(owner: string, group: string, timeoutMilliseconds: number): Promise<Result<ReadIndex, string>> {
		const reply = await this.#options.peerNetwork.call(owner, PeerMessageKind.ReadIndex, {group, timeoutMilliseconds}, {timeoutMilliseconds});
		if (reply.isErr()) {
			return err(reply.error.message);
		}

		const parsed = readIndexReplySchema.safeParse(reply.value);
		if (!parsed.success) {
			return err(`host "${owner}" sent an invalid read index`);
		}

		return 'error' in parsed.data ? err(parsed.data.error) : ok(parsed.data);
	}

	async #confirm(group: string, timeoutMilliseconds: number): Promise<Result<ReadIndex, string>> {
		const primary = this.#options.groupView.getPrimary(group);
		if (!primary) {
			return err(`group "${group}" has no known primary`);
		}

		const position = await this.#options.termConfirmation.confirm(group, primary.instance, {
			expectedTerm: primary.term, replicated: false, timeoutMilliseconds,
		});
		return position
			.map(value => ({primary, position: value}))
			.mapErr(error => `the primary of group "${group}" was not confirmed: ${error}`);
	}
}
