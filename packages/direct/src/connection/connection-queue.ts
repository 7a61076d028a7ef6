import {AdmissionControl} from '../request/admission-control.js';
import {getEffectivePriority, type WaitingRequest} from '../request/waiting-request.js';
import {getDueTime, type WorkspaceFlow, WorkspaceShares} from '../request/workspace-shares.js';
import {type PooledConnection, type SessionContext} from './pooled-connection.js';

/** Reasons why no connection was granted. */
export enum AcquireFailure {
	/** The deadline of the request passed. */
	Expired = 'expired',
	/** The instance does not respond, or the pool is closed. */
	Unavailable = 'closed',
	/** The request could not be served in its time, or too many more urgent ones wait. */
	Overloaded = 'overloaded',
}

/** Error message if a request was refused a place in the queue. */
export const overloadedReason = 'the instance has no capacity within the time limit';

/** Reasons why a request is refused a place in the queue. */
export enum QueueRefusal {
	/** It could not be served before its deadline. */
	TimeLimit = 'time-limit',
	/** Too many requests wait that are more urgent. */
	QueueFull = 'queue-full',
}

/** Request that waits for a connection. */
export type Waiter = {
	readonly request: WaitingRequest;
	readonly context: SessionContext;
	readonly resolve: (outcome: PooledConnection | AcquireFailure) => void;
};

/**
 * Maximum number of waiting requests. An instance of 6 slots runs about 170 statements per second, so the last ones of so many
 * are served after their time in any case, and the search for the next one takes time in proportion to their number.
 */
const maximumWaiting = 400;

/** Time after which a request may return that was refused because of `maximumWaiting`, in milliseconds. */
const fullReturnMilliseconds = 500;

/** Waiting request with the requests of its workspace. */
type QueuedWaiter = {
	readonly waiter: Waiter;
	readonly flow: WorkspaceFlow;
};

/**
 * Requests that wait for a connection of a pool. They are ordered by priority, then by the shares of their workspaces, and
 * those of one workspace by arrival.
 */
export class ConnectionQueue {
	/** Time after which the request that was refused last may return, in milliseconds. */
	returnMilliseconds = 0;
	#entries: QueuedWaiter[] = [];
	readonly #shares = new WorkspaceShares();
	readonly #admission = new AdmissionControl();
	readonly #onRefused: (reason: QueueRefusal) => void;

	/**
	 * @param onRefused - Called with each request that is refused.
	 */
	constructor(onRefused: (reason: QueueRefusal) => void = () => undefined) {
		this.#onRefused = onRefused;
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.#entries.length;
	}

	/**
	 * Adds a request. If it could not be served before its deadline, it is rejected at once. If too many wait, the least urgent
	 * one is rejected, of the workspace that has the most.
	 *
	 * @param waiter - Request.
	 * @param now - Monotonic time, in milliseconds.
	 * @param capacity - Requests per millisecond that the connections serve, or `undefined` if any request may wait.
	 */
	add(waiter: Waiter, now: number, capacity?: number): void {
		const {request, context} = waiter;
		const {priority} = request;
		if (capacity !== undefined && this.#entries.length > 0) {
			const ahead = this.#countAhead(request, context, now);
			const returnMilliseconds = this.#admission.check({priority, ahead, remainingMilliseconds: request.deadline - now, capacity}, now);
			if (returnMilliseconds !== undefined) {
				this.returnMilliseconds = returnMilliseconds;
				this.#onRefused(QueueRefusal.TimeLimit);
				waiter.resolve(AcquireFailure.Overloaded);
				return;
			}
		}

		this.#entries.push({waiter, flow: this.#shares.add(priority, context)});
		this.#admission.handleAdded(priority, now);
		if (this.#entries.length > maximumWaiting) {
			this.returnMilliseconds = fullReturnMilliseconds;
			this.#onRefused(QueueRefusal.QueueFull);
			this.#reject([this.#findLeastUrgent(now)], AcquireFailure.Overloaded);
		}
	}

	/** Removes a request that has been granted a connection. */
	remove(waiter: Waiter): void {
		const [{flow}] = this.#entries.splice(this.#entries.findIndex(entry => entry.waiter === waiter), 1) as [QueuedWaiter];
		this.#shares.serve(flow);
		this.#admission.handleRemoved(waiter.request.priority, true);
		this.#resetIfEmpty();
	}

	/**
	 * Returns the requests in the order in which they are served. Usually only the first few are needed, so the next one is
	 * searched for when it is asked for. If `next` is called with `true`, the others of the same workspace and priority are left out:
	 * in a flood, it would take too long to try each of them.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 */
	* inOrder(now: number): Generator<Waiter, void, boolean | undefined> {
		// Due times of the workspaces if all requests that were returned are served, whether they are or not.
		const dueTimes = new Map<WorkspaceFlow, number>();
		const findDueTime = (flow: WorkspaceFlow) => dueTimes.get(flow) ?? getDueTime(flow);
		const isBefore = (left: QueuedWaiter, right: QueuedWaiter) => ((getEffectivePriority(left.waiter.request, now) - getEffectivePriority(right.waiter.request, now))
			|| (left.flow === right.flow ? 0 : findDueTime(left.flow) - findDueTime(right.flow))
			|| (left.waiter.request.arrivedAt - right.waiter.request.arrivedAt)) < 0;
		let remaining = [...this.#entries];
		while (remaining.length > 0) {
			let best = 0;
			for (let index = 1; index < remaining.length; index++) {
				if (isBefore(remaining[index]!, remaining[best]!)) {
					best = index;
				}
			}

			const [{waiter, flow}] = remaining.splice(best, 1) as [QueuedWaiter];
			dueTimes.set(flow, findDueTime(flow) + flow.serviceTime);
			if (yield waiter) {
				remaining = remaining.filter(entry => entry.flow !== flow);
			}
		}
	}

	/** Rejects the requests whose deadline has passed. */
	rejectExpired(now: number): void {
		const expired = this.#entries.filter(({waiter}) => waiter.request.deadline <= now);
		if (expired.length > 0) {
			this.#reject(expired, AcquireFailure.Expired);
		}
	}

	/** Rejects all requests because the instance is unavailable. */
	rejectAll(): void {
		this.#reject(this.#entries, AcquireFailure.Unavailable);
	}

	#reject(rejected: readonly QueuedWaiter[], failure: AcquireFailure): void {
		const entries = new Set(rejected);
		this.#entries = this.#entries.filter(entry => !entries.has(entry));
		for (const {waiter, flow} of entries) {
			this.#shares.remove(flow);
			this.#admission.handleRemoved(waiter.request.priority, false);
			waiter.resolve(failure);
		}

		this.#resetIfEmpty();
	}

	/** Counts the waiting requests of the same priority that are served before a new one. */
	#countAhead(request: WaitingRequest, context: SessionContext, now: number): number {
		const priority = getEffectivePriority(request, now);
		const counts = new Map<WorkspaceFlow, number>();
		for (const {waiter, flow} of this.#entries) {
			if (waiter.request.priority === request.priority && getEffectivePriority(waiter.request, now) <= priority) {
				counts.set(flow, (counts.get(flow) ?? 0) + 1);
			}
		}

		const own = this.#shares.getFlow(request.priority, context);
		const ownCount = (own && counts.get(own)) ?? 0;
		const due = own ? getDueTime(own) + (ownCount * own.serviceTime) : undefined;
		let ahead = 0;
		for (const [flow, count] of counts) {
			ahead += flow === own ? count : Math.min(count, Math.ceil(Math.max(0, (due ?? flow.clock.now) - getDueTime(flow)) / flow.serviceTime));
		}

		return ahead;
	}

	#findLeastUrgent(now: number): QueuedWaiter {
		const getRank = ({waiter: {request}, flow}: QueuedWaiter) => [getEffectivePriority(request, now), flow.waiting * flow.serviceTime, request.arrivedAt] as const;
		let [worst] = this.#entries as [QueuedWaiter];
		for (const entry of this.#entries) {
			const [left, right] = [getRank(worst), getRank(entry)];
			if (((right[0] - left[0]) || (right[1] - left[1]) || (right[2] - left[2])) >= 0) {
				worst = entry;
			}
		}

		return worst;
	}

	#resetIfEmpty(): void {
		if (this.#entries.length === 0) {
			this.#shares.reset();
		}
	}
}
