import {type StoreChange} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerStream, type PeerStreamTransport} from '../connection/peer-stream.js';
import {createChangesMessage, type DelegateMessage, DelegateMessageKind, type DelegateQuestion, parseDelegateMessage} from './delegate-messages.js';
import {type EventLog} from './event-log.js';
import {type HostRegistration} from './host-registration.js';
import {authorityMarginMilliseconds, authorityMilliseconds, type PrimaryAuthority} from './primary-authority.js';
import {type StoreEra} from './store-era.js';
import {type StoreView} from './store-view.js';

/** Interval at which the confirmations of followers are checked, in milliseconds. */
const confirmationPollMilliseconds = 10;

/** Time for which suspicions of followers are collected into one write, in milliseconds. */
const suspicionBatchMilliseconds = 20;

/**
 * Remaining time of a grant below which it is extended without a question, in milliseconds. It occurs while renewals of the
 * delegate's own authority are slow.
 */
const lowGrantMilliseconds = 350;

/** Time since the last question after which a follower is not granted more, in milliseconds. Questions are 250 ms apart. */
const silenceMilliseconds = 300;

/** Time since the last question after which a follower is considered gone, in milliseconds. Its connection may be lost without a sign. */
const followerTimeoutMilliseconds = 2000;

/** Time for which a host may try to obtain authority before it sends its followers elsewhere, in milliseconds. */
const activationTimeMilliseconds = 400;

type Follower = {
	readonly stream: PeerStream;
	readonly host: string;
	/** Newest question, with the monotonic time at which it was received. */
	question: DelegateQuestion;
	receivedAt: number;
	/** Whether the follower has received all changes that this host knows. */
	isCurrent: boolean;
	grantedUntil: number;
};

type FollowerReport = Pick<DelegateQuestion, 'confirmed' | 'suspected'>;

/** Dependencies of a `DelegateServer`. */
export type DelegateServerOptions = {
	readonly transport: PeerStreamTransport;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly view: StoreView;
	readonly authority: PrimaryAuthority;
	readonly registration: HostRegistration;
	/** Era of the store that this host goes by. */
	readonly era: StoreEra;
	/** Whether the store responds to this host. */
	isStoreAvailable(): boolean;
	/** Whether the host is shutting down. */
	isLeaving(): boolean;
	/** Called when a host asks this one for grants. This host then obtains a lease of its own. */
	handleFollower(): void;
};

/**
 * Passes changes of the store and authority to use primaries on to the followers of this host.
 *
 * A grant never outlives the authority that this host obtained itself. This host confirms the change of a primary only when
 * each holder of a valid grant has confirmed it, so a promoter need not know the followers.
 */
export class DelegateServer {
	readonly #options: DelegateServerOptions;
	readonly #startedAt: number;
	readonly #followers = new Map<PeerStream, Follower>();
	/** Monotonic times at which the last grants expire, by host. They outlive the streams. */
	readonly #grants = new Map<string, number>();
	/** Last reports of hosts that follow this one or hold a grant of it. */
	readonly #reports = new Map<string, FollowerReport>();
	#activeSince: number | undefined;
	#isFlushScheduled = false;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: DelegateServerOptions) {
		this.#options = options;
		this.#startedAt = options.timer.now();
		options.transport.onStream = stream => {
			this.#accept(stream);
		};

		options.view.onChanges = changes => {
			this.#forward(changes);
		};

		options.authority.onRenewed = () => {
			this.#extendGrants();
		};
	}

	/** Number of hosts that follow this one. */
	get followerCount(): number {
		return this.#followers.size;
	}

	/** Whether a grant of this process may be in use. */
	get hasGrants(): boolean {
		return this.#grants.size > 0;
	}

	/** Monotonic time until which a follower, also one of the previous process of this host, may use primaries. */
	get grantedUntil(): number {
		return Math.max(this.#startedAt + authorityMilliseconds, ...this.#grants.values()) + authorityMarginMilliseconds;
	}

	/**
	 * Handles a new era of the store, in which this host has no authority yet. The followers stay, as after a start. Their grants
	 * from before remain known, because they are valid until they expire.
	 */
	handleEraEntered(): void {
		if (this.#followers.size > 0) {
			this.#activeSince = this.#options.timer.now();
		}
	}

	/** Tells all followers to ask another host. */
	dismissFollowers(reason: string): void {
		for (const {stream} of this.#followers.values()) {
			this.#send(stream, {kind: DelegateMessageKind.Unavailable, reason});
		}
	}

	/**
	 * Waits until no follower uses a primary that is being replaced.
	 *
	 * @param group - Group of the primary.
	 * @param change - Identifier of the change.
	 * @param mayHaveFollowers - Whether the previous process of this host may have had followers.
	 * @param isCurrent - Returns whether the change is still the latest one.
	 * @returns Names of the followers that have confirmed the change, or `undefined` if it is no longer the latest one.
	 */
	async waitForFollowers(group: string, change: string, mayHaveFollowers: boolean, isCurrent: () => boolean): Promise<readonly string[] | undefined> {
		const {timer, registration} = this.#options;
		const earliest = mayHaveFollowers ? this.#startedAt + authorityMilliseconds + authorityMarginMilliseconds : 0;
		let hasNoticed = false;
		while (timer.now() < earliest || this.#hasUnconfirmedGrant(group, change)) {
			if (!hasNoticed) {
				hasNoticed = true;
				registration.update({noticed: {...registration.record.noticed, [group]: change}});
			}

			await timer.sleep(confirmationPollMilliseconds);
			if (!isCurrent()) {
				return undefined;
			}
		}

		return [...this.#reports].filter(([, {confirmed}]) => confirmed[group] === change).map(([host]) => host);
	}

	/** Closes the streams of silent followers and forgets expired grants. Called periodically. */
	sweep(now: number): void {
		for (const {stream, receivedAt} of this.#followers.values()) {
			if (now - receivedAt >= followerTimeoutMilliseconds) {
				this.#remove(stream);
				stream[Symbol.dispose]();
			}
		}

		for (const [host, until] of this.#grants) {
			if (now >= until + authorityMarginMilliseconds) {
				this.#grants.delete(host);
				if (![...this.#followers.values()].some(follower => follower.host === host)) {
					this.#reports.delete(host);
					this.#scheduleFlush();
				}
			}
		}
	}

	#hasUnconfirmedGrant(group: string, change: string): boolean {
		const now = this.#options.timer.now();
		return [...this.#grants].some(([host, until]) => now < until + authorityMarginMilliseconds && this.#reports.get(host)?.confirmed[group] !== change);
	}

	#accept(stream: PeerStream): void {
		stream.onMessage = message => {
			const parsed = parseDelegateMessage(message);
			if (parsed.isErr() || parsed.value.kind !== DelegateMessageKind.Question) {
				this.#options.log.write('delegate-message-invalid', {reason: parsed.isErr() ? parsed.error : `unexpected kind ${parsed.value.kind}`});
				this.#remove(stream);
				stream[Symbol.dispose]();
				return;
			}

			this.#handleQuestion(stream, parsed.value);
		};

		stream.onClose = () => {
			this.#remove(stream);
		};
	}

	#remove(stream: PeerStream): void {
		const follower = this.#followers.get(stream);
		this.#followers.delete(stream);
		if (follower) {
			this.#options.log.write('follower-gone', {host: follower.host, followers: this.#followers.size});
		}

		if (this.#followers.size === 0) {
			this.#activeSince = undefined;
		}
	}

	#handleQuestion(stream: PeerStream, question: DelegateQuestion): void {
		const {timer, log, handleFollower} = this.#options;
		const receivedAt = timer.now();
		const known = this.#followers.get(stream);
		const follower: Follower = known ?? {stream, host: question.host, question, receivedAt, isCurrent: false, grantedUntil: Number.NEGATIVE_INFINITY};
		follower.question = question;
		follower.receivedAt = receivedAt;
		this.#updateReport(question);
		if (!known) {
			this.#followers.set(stream, follower);
			this.#activeSince ??= receivedAt;
			log.write('follower-added', {host: question.host, followers: this.#followers.size});
			handleFollower();
		}

		this.#grant(follower);
	}

	#updateReport({host, confirmed, suspected}: DelegateQuestion): void {
		const previous = this.#reports.get(host);
		this.#reports.set(host, {confirmed, suspected});
		if ((previous?.suspected ?? []).join(' ') !== suspected.join(' ')) {
			this.#scheduleFlush();
		}
	}

	/** Publishes the suspicions of all followers with one write. */
	#scheduleFlush(): void {
		if (this.#isFlushScheduled) {
			return;
		}

		this.#isFlushScheduled = true;
		const {timer, registration} = this.#options;
		timer.schedule(suspicionBatchMilliseconds, () => {
			this.#isFlushScheduled = false;
			const suspected: Record<string, string[]> = {};
			for (const [host, report] of this.#reports) {
				for (const group of report.suspected) {
					(suspected[group] ??= []).push(host);
				}
			}

			if (JSON.stringify(suspected) !== JSON.stringify(registration.record.followers.suspected)) {
				registration.update({followers: {...registration.record.followers, suspected}});
			}
		});
	}

	#grant(follower: Follower): void {
		const {timer, view, authority, era, isStoreAvailable, isLeaving} = this.#options;
		const isActivating = timer.now() - (this.#activeSince ?? 0) < activationTimeMilliseconds;
		if (isLeaving() || !authority.isOwnValid() || view.revision === 0) {
			if (isLeaving() || !isActivating) {
				this.#send(follower.stream, {kind: DelegateMessageKind.Unavailable, reason: isLeaving() ? 'the host is leaving' : 'the host has no authority'});
			}

			return;
		}

		if (!follower.isCurrent) {
			const {changes, isSnapshot} = view.getChangesSince(follower.question.revision);
			follower.isCurrent = true;
			if (isSnapshot || changes.length > 0) {
				this.#send(follower.stream, createChangesMessage(changes, view.revision, isSnapshot));
			}
		}

		follower.grantedUntil = authority.ownValidUntil;
		this.#grants.set(follower.host, Math.max(this.#grants.get(follower.host) ?? 0, authority.ownValidUntil));
		this.#send(follower.stream, {
			kind: DelegateMessageKind.Grant, number: follower.question.number, remaining: authority.ownValidUntil - follower.receivedAt,
			proofAge: follower.receivedAt - authority.provenAt, era: era.number, isStoreAvailable: isStoreAvailable(),
		});
	}

	#extendGrants(): void {
		const now = this.#options.timer.now();
		for (const follower of this.#followers.values()) {
			// A grant of a follower that no longer asks would only delay the next change of a primary.
			if (follower.grantedUntil < now + lowGrantMilliseconds && now - follower.receivedAt < silenceMilliseconds) {
				this.#grant(follower);
			}
		}
	}

	#forward(changes: readonly StoreChange[]): void {
		const current = [...this.#followers.values()].filter(({isCurrent}) => isCurrent);
		if (current.length === 0) {
			return;
		}

		const frame = this.#options.transport.encode(createChangesMessage(changes, this.#options.view.revision, false));
		for (const {stream} of current) {
			stream.sendEncoded(frame);
		}
	}

	#send(stream: PeerStream, message: DelegateMessage): void {
		stream.send(message);
	}
}
