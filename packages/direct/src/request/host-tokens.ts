import {DemandEstimate} from './demand-estimate.js';
import {ExpiringTokens} from './expiring-tokens.js';

/** Time for which a host keeps a token, in milliseconds. */
export const tokenLifetimeMilliseconds = 1000;

/** Time for which a host asks for tokens in advance, in milliseconds. */
const prefetchMilliseconds = 300;

/** Expected operations from which one token is requested in advance. A token for fewer would usually expire unused. */
const prefetchThreshold = 0.3;

/** Time after the last operation for which the counters of a workspace are kept, in milliseconds. */
const rememberedMilliseconds = 3000;

/** Counters of the tokens that a host has obtained for a workspace. They are cumulative, so that lost messages do no harm. */
export type TokenCounters = {
	/** Tokens obtained since the process started. */
	readonly received: number;
	/** Tokens among these that expired without use. */
	readonly returned: number;
	/** Tokens among these that can still be used. */
	readonly held: number;
};

/**
 * Tokens of one workspace on one host. Answers operations that arrive more often than the host asks for tokens.
 */
export class HostTokens {
	/** Monotonic time until which operations without a token are refused, in milliseconds. */
	blockedUntil = Number.NEGATIVE_INFINITY;
	readonly #tokens = new ExpiringTokens();
	readonly #demand = new DemandEstimate();
	#reported: TokenCounters = {received: 0, returned: 0, held: 0};
	#received = 0;
	#returned = 0;
	#usedAt = Number.NEGATIVE_INFINITY;

	/** Records the arrival of an operation and takes a token for it; returns whether there was one. */
	takeForArrival(now: number): boolean {
		this.#demand.add(1, now);
		this.#usedAt = now;
		return this.take(now);
	}

	/** Takes a token and returns whether there was one. */
	take(now: number): boolean {
		this.expire(now);
		return this.#tokens.take(1) === 1;
	}

	/** Returns a token that was taken for an operation that no instance received. */
	giveBack(now: number): void {
		this.#tokens.add(1, now + tokenLifetimeMilliseconds);
	}

	/**
	 * Adds tokens that a coordinator has granted.
	 *
	 * @param count - Number of tokens.
	 * @param requestedAt - Monotonic time at which they were requested, in milliseconds.
	 */
	receive(count: number, requestedAt: number): void {
		this.#received += count;
		this.#tokens.add(count, requestedAt + tokenLifetimeMilliseconds);
	}

	/** Returns all tokens, because the limit was lowered. */
	discard(): void {
		this.#returned += this.#tokens.take(this.#tokens.count);
		this.blockedUntil = Number.NEGATIVE_INFINITY;
	}

	/** Returns the tokens whose lifetime has ended. */
	expire(now: number): void {
		this.#returned += this.#tokens.expire(now);
	}

	/** Returns the present counters. */
	getCounters(now: number): TokenCounters {
		this.expire(now);
		return {received: this.#received, returned: this.#returned, held: this.#tokens.count};
	}

	/** Returns how many tokens to request in advance, with an allowance for operations that arrive irregularly. */
	getPrefetchCount(now: number): number {
		const expected = this.#demand.get(now) * prefetchMilliseconds;
		return expected < prefetchThreshold ? 0 : Math.max(0, Math.ceil(expected + Math.sqrt(expected)) - this.#tokens.count);
	}

	/**
	 * Returns the counters for a report, or `undefined` if the last report contained the same ones. A report without an answer
	 * ends the relation to the coordinator, so that the next one begins with what it is told first.
	 */
	getChangedCounters(now: number): TokenCounters | undefined {
		const counters = this.getCounters(now);
		const {received, returned, held} = this.#reported;
		if (counters.received === received && counters.returned === returned && counters.held === held) {
			return undefined;
		}

		this.#reported = counters;
		return counters;
	}

	/** Whether the workspace can be forgotten. */
	isUnused(now: number): boolean {
		return this.#tokens.count === 0 && now - this.#usedAt >= rememberedMilliseconds;
	}
}
