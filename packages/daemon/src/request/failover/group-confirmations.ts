import {type TimerService} from '@tarragonstack/core';
import {type InstanceStatus} from '../group-view.js';
import {type ConfirmationOptions} from '../term-confirmation.js';
import {type InstanceControl} from './instance-control.js';
import {type ConfirmationResult, PendingConfirmation} from './pending-confirmation.js';

/** Questions to one member that may be under way at once. Three keep the wait for the next one near a third of a round trip. */
const maximumInFlightRequests = 3;

/** Time after which an unanswered question no longer counts against the limit, in milliseconds, so that a lost answer does not stop new questions. */
const inFlightTimeoutMilliseconds = 50;

/** Delay before a member is asked again whose answer did not yet suffice, in milliseconds. */
const repeatDelayMilliseconds = 2;

/** Delay before a member is asked again after a failed question, in milliseconds. */
const retryDelayMilliseconds = 5;

/** Time limit of one question, in milliseconds. */
const requestTimeoutMilliseconds = 500;

/** Weight of the newest round trip in the smoothed round trip. */
const roundTripWeight = 0.2;

type Member = {
	readonly name: string;
	/** Time of sending by number of the question, for questions without an answer. */
	readonly inFlight: Map<number, number>;
	lastRequestAt: number;
	earliestRequestAt: number;
	roundTripMilliseconds: number;
	/** Time of the next question that is already scheduled. */
	scheduledAt: number;
	timer?: Disposable;
};

/** Dependencies of the confirmations of one group. */
export type GroupConfirmationsOptions = {
	readonly timerService: TimerService;
	getControl(instance: string): InstanceControl | undefined;
	/** Receives every status. */
	onStatus(status: InstanceStatus): void;
};

/**
 * Pending confirmations of one group. One question to a member serves all calls that began before the question was sent.
 * The load is thus bounded by the round trip and does not depend on the number of calls.
 */
export class GroupConfirmations {
	readonly #options: GroupConfirmationsOptions;
	/** Pending confirmations by requirements and number of the last question. */
	readonly #pending = new Map<string, PendingConfirmation>();
	readonly #members: readonly Member[];
	#requestCount = 0;

	/**
	 * @param members - Names of the members of the group.
	 * @param options - Dependencies.
	 */
	constructor(members: readonly string[], options: GroupConfirmationsOptions) {
		this.#options = options;
		this.#members = members.map(name => ({
			name,
			inFlight: new Map<number, number>(),
			lastRequestAt: Number.NEGATIVE_INFINITY,
			earliestRequestAt: Number.NEGATIVE_INFINITY,
			roundTripMilliseconds: 0,
			scheduledAt: Number.POSITIVE_INFINITY,
		}));
	}

	/** Names of the members. */
	get members(): readonly string[] {
		return this.#members.map(member => member.name);
	}

	/**
	 * Adds a call.
	 *
	 * @param primary - Instance that is taken for the primary.
	 * @param options - What must hold.
	 */
	async confirm(primary: string, options: ConfirmationOptions): Promise<ConfirmationResult> {
		const key = `${primary} ${options.expectedTerm ?? ''} ${options.replicated} ${this.#requestCount}`;
		const pending = this.#pending.get(key)
			?? new PendingConfirmation({members: this.members, primary, startedAfterRequest: this.#requestCount}, options);
		this.#pending.set(key, pending);
		return new Promise(resolve => {
			const waiter = (result: ConfirmationResult) => {
				limit[Symbol.dispose]();
				resolve(result);
			};

			const limit = this.#options.timerService.schedule(options.timeoutMilliseconds, () => {
				pending.expireWaiter(waiter);
				if (pending.waiterCount === 0) {
					this.#pending.delete(key);
				}
			});
			pending.addWaiter(waiter);
			if (pending.waiterCount > 1) {
				return;
			}

			const now = this.#options.timerService.now();
			for (const member of this.#members) {
				// The call needs a new question to every member, so the other calls need not be looked at.
				this.#requestStatusAt(member, now, this.#getEarliestRequestTime(member, now));
			}
		});
	}

	/** Ends all calls without a proof. */
	close(): void {
		for (const pending of this.#pending.values()) {
			pending.close();
		}

		this.#pending.clear();

		for (const member of this.#members) {
			member.timer?.[Symbol.dispose]();
		}
	}

	#scheduleNextRequest(member: Member): void {
		const now = this.#options.timerService.now();
		const newest = Math.max(-1, ...member.inFlight.keys());
		const waiting = [...this.#pending.values()].filter(pending => pending.startedAfterRequest >= newest && pending.needsResponse(member.name));
		if (waiting.length === 0) {
			return;
		}

		const hasFirstRequest = waiting.some(pending => !pending.hasResponse(member.name));
		const earliestRepeat = hasFirstRequest ? Number.NEGATIVE_INFINITY : member.lastRequestAt + repeatDelayMilliseconds;
		this.#requestStatusAt(member, now, Math.max(earliestRepeat, this.#getEarliestRequestTime(member, now)));
	}

	#requestStatusAt(member: Member, now: number, time: number): void {
		if (time <= now) {
			void this.#requestStatus(member, now);
			return;
		}

		if (member.scheduledAt <= time && member.scheduledAt > now) {
			return;
		}

		member.timer?.[Symbol.dispose]();
		member.scheduledAt = time;
		member.timer = this.#options.timerService.schedule(time - now, () => {
			member.scheduledAt = Number.POSITIVE_INFINITY;
			this.#scheduleNextRequest(member);
		});
	}

	/** Returns the earliest time at which the limits permit another question to a member. */
	#getEarliestRequestTime(member: Member, now: number): number {
		const recent = [...member.inFlight.values()].filter(sentAt => now - sentAt < inFlightTimeoutMilliseconds);
		if (recent.length === 0) {
			return member.earliestRequestAt;
		}

		const earliestBySpacing = member.lastRequestAt + (member.roundTripMilliseconds / maximumInFlightRequests);
		const earliestByLimit = recent.length < maximumInFlightRequests
			? Number.NEGATIVE_INFINITY
			: Math.min(...recent) + inFlightTimeoutMilliseconds;
		return Math.max(earliestByLimit, earliestBySpacing, member.earliestRequestAt);
	}

	async #requestStatus(member: Member, now: number): Promise<void> {
		const control = this.#options.getControl(member.name);
		if (!control) {
			return;
		}

		this.#requestCount++;
		const requestNumber = this.#requestCount;
		member.lastRequestAt = now;
		member.inFlight.set(requestNumber, now);
		const response = await control.status({timeoutMilliseconds: requestTimeoutMilliseconds});
		member.inFlight.delete(requestNumber);
		const respondedAt = this.#options.timerService.now();
		if (response.isOk()) {
			member.roundTripMilliseconds += roundTripWeight * (respondedAt - now - member.roundTripMilliseconds);
			this.#options.onStatus(response.value);
			for (const [key, pending] of this.#pending) {
				if (pending.recordResponse(requestNumber, response.value)) {
					this.#pending.delete(key);
				}
			}

			// The first answer of the primary tells the position that the others must hold.
			for (const other of this.#members) {
				this.#scheduleNextRequest(other);
			}
		} else {
			member.earliestRequestAt = respondedAt + retryDelayMilliseconds;
			this.#scheduleNextRequest(member);
		}
	}
}
