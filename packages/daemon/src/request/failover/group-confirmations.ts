import {type TimerService} from '@tarragonstack/core';
import {type InstanceStatus} from '../group-view.js';
import {type ConfirmationOptions} from '../term-confirmation.js';
import {type InstanceControl} from './instance-control.js';
import {type ConfirmationResult, PendingConfirmation} from './pending-confirmation.js';

/** Maximum number of requests in flight to one member. With three, the wait for the next is about a third of a round trip. */
const maximumInFlightRequests = 3;

/**
 * Time after which an unanswered request no longer counts toward the limit, in milliseconds, so that a lost response does
 * not block new requests.
 */
const inFlightTimeoutMilliseconds = 50;

/** Delay before the next request to a member whose response did not suffice yet, in milliseconds. */
const repeatDelayMilliseconds = 2;

/** Delay before the next request to a member after a failed one, in milliseconds. */
const retryDelayMilliseconds = 5;

/** Time limit of one request, in milliseconds. */
const requestTimeoutMilliseconds = 500;

/** Weight of the latest sample in the exponentially weighted average of the round-trip time. */
const roundTripWeight = 0.2;

type Member = {
	readonly name: string;
	/** Send times of the requests without a response, by request number. */
	readonly inFlight: Map<number, number>;
	lastRequestAt: number;
	earliestRequestAt: number;
	roundTripMilliseconds: number;
	/** Time of the next scheduled request; infinite if there is none. */
	scheduledAt: number;
	timer?: Disposable;
};

/** Dependencies of the confirmations of one group. */
export type GroupConfirmationsOptions = {
	readonly timerService: TimerService;
	getControl(instance: string): InstanceControl | undefined;
	/** Receives the status of each response. */
	onStatus(status: InstanceStatus): void;
};

/**
 * Pending confirmations of one group. One request to a member serves all calls that started before it was sent, so the
 * request rate is bounded by the round-trip time and does not depend on the number of calls.
 */
export class GroupConfirmations {
	readonly #options: GroupConfirmationsOptions;
	/** Pending confirmations by requirements and number of the latest request. */
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
	 * Confirms that a primary meets the given conditions.
	 *
	 * @param primary - Name of the presumed primary.
	 * @param options - Conditions to confirm.
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
				// This call needs a new request to every member, so the requests needed by other calls do not matter here.
				this.#requestStatusAt(member, now, this.#getEarliestRequestTime(member, now));
			}
		});
	}

	/** Fails all pending calls. */
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
		const waiting = [...this.#pending.values()].filter(pending =>
			pending.startedAfterRequest >= newest && pending.needsResponse(member.name));
		if (waiting.length === 0) {
			return;
		}

		const lacksResponse = waiting.some(pending => !pending.hasResponse(member.name));
		const earliestRepeat = lacksResponse ? Number.NEGATIVE_INFINITY : member.lastRequestAt + repeatDelayMilliseconds;
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

	/** Returns the earliest time at which the limits allow another request to a member. */
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

			// The first response of the primary sets the position that the other members must reach.
			for (const other of this.#members) {
				this.#scheduleNextRequest(other);
			}
		} else {
			member.earliestRequestAt = respondedAt + retryDelayMilliseconds;
			this.#scheduleNextRequest(member);
		}
	}
}
