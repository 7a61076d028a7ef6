import {type TimerService} from '@tarragonstack/core';
import {type ReadIndex, type ReadIndexSource} from './read-index-source.js';

/** Time limit of one request, in milliseconds. Short enough to retry a lost request within most latency targets. */
const requestTimeoutMilliseconds = 250;

/** Delay before a failed request is retried, in milliseconds. */
const retryDelayMilliseconds = 10;

/** Maximum number of concurrent requests for one group. */
const maximumInFlightRequests = 4;

type CachedReadIndex = {
	readonly readIndex: ReadIndex;
	readonly requestedAt: number;
};

type GroupState = {
	cached?: CachedReadIndex;
	inFlightRequests: number;
	/** Batch that has not been sent yet, so that further calls can join it. */
	pendingBatch?: Promise<CachedReadIndex | undefined>;
	/** Resolve functions of the batches that wait for an earlier request to complete. */
	slotWaiters: Array<() => void>;
};

/** Obtains read indexes for the reads of this host. One request serves all reads that were waiting when it was sent. */
export class ReadIndexClient {
	readonly #source: ReadIndexSource;
	readonly #timerService: TimerService;
	readonly #groups = new Map<string, GroupState>();

	/**
	 * @param source - Executes single requests.
	 * @param timerService - Source of time.
	 */
	constructor(source: ReadIndexSource, timerService: TimerService) {
		this.#source = source;
		this.#timerService = timerService;
	}

	/**
	 * Returns a read index that does not exceed a given age.
	 *
	 * @param group - Name of the group.
	 * @param maximumAgeMilliseconds - Maximum time since the read index was requested; 0 requires a new request.
	 * @param timeoutMilliseconds - Time limit of the call.
	 * @param signal - Cancels the call.
	 * @returns The read index, or `undefined` if none was obtained in time.
	 */
	async get(group: string, maximumAgeMilliseconds: number, timeoutMilliseconds: number, signal: AbortSignal): Promise<ReadIndex | undefined> {
		const state = this.#getState(group);
		const deadline = this.#timerService.now() + timeoutMilliseconds;
		const age = this.#getAge(state);
		if (state.cached && age <= maximumAgeMilliseconds) {
			if (age > maximumAgeMilliseconds / 2) {
				// Refreshes the cached value before it expires, so that later reads do not wait for it.
				void this.#joinBatch(group, state);
			}

			return state.cached.readIndex;
		}

		while (this.#timerService.now() < deadline && !signal.aborted) {
			const result = await this.#joinBatch(group, state);
			if (result) {
				return result.readIndex;
			}

			await this.#timerService.sleep(Math.min(retryDelayMilliseconds, deadline - this.#timerService.now()), signal);
		}

		return undefined;
	}

	#getState(group: string): GroupState {
		let state = this.#groups.get(group);
		if (!state) {
			state = {inFlightRequests: 0, slotWaiters: []};
			this.#groups.set(group, state);
		}

		return state;
	}

	#getAge(state: GroupState): number {
		return state.cached ? this.#timerService.now() - state.cached.requestedAt : Number.POSITIVE_INFINITY;
	}

	async #joinBatch(group: string, state: GroupState): Promise<CachedReadIndex | undefined> {
		state.pendingBatch ??= this.#sendBatch(group, state);
		return state.pendingBatch;
	}

	async #sendBatch(group: string, state: GroupState): Promise<CachedReadIndex | undefined> {
		if (state.inFlightRequests >= maximumInFlightRequests) {
			await new Promise<void>(resolve => {
				state.slotWaiters.push(resolve);
			});
		} else {
			// Reads that arrive in the same turn of the event loop join the batch.
			await Promise.resolve();
		}

		state.inFlightRequests++;
		state.pendingBatch = undefined;
		const requestedAt = this.#timerService.now();
		const result = await this.#source.request(group, requestTimeoutMilliseconds);
		state.inFlightRequests--;
		state.slotWaiters.shift()?.();
		if (result.isErr()) {
			return undefined;
		}

		const entry = {readIndex: result.value, requestedAt};
		if (!state.cached || state.cached.requestedAt < requestedAt) {
			state.cached = entry;
		}

		return entry;
	}
}
