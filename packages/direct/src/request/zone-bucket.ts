import {DemandEstimate} from './demand-estimate.js';
import {ExpiringTokens} from './expiring-tokens.js';
import {type EffectiveLimit} from './limit-tolerance.js';

/**
 * Time for which borrowed tokens may exceed the capacity of a zone, in milliseconds. The lender stores that much less
 * meanwhile: with 1,300 ms, one zone in which all the clients of a workspace are lost tokens of the others in each burst.
 */
const loanMilliseconds = 400;

/** Time for which a lender keeps tokens for its own hosts, in milliseconds. */
const reservedMilliseconds = 300;

/** Time for which a borrower asks for tokens in advance, in milliseconds. */
const borrowedAheadMilliseconds = 300;

/** Bounds of the time after which a host may ask again, in milliseconds. The upper one limits the messages about a flooding workspace. */
const minimumRetryMilliseconds = 20;
export const maximumRetryMilliseconds = 1000;

/** Compensates for rounding when fractions of tokens are added up. */
const roundingError = 1e-6;

/** Entitlement of the hosts that report to a coordinator. */
export type ZoneEntitlement = {
	/** Sum of the shares of these hosts, integrated over time, in milliseconds. */
	readonly credit: number;
	/** Sum of the shares of these hosts. */
	readonly share: number;
	/** Tokens of each workspace that may be stored irrespective of the share. */
	readonly minimumCapacity: number;
};

/**
 * Token bucket of one workspace in one zone. Answers operations that arrive together on some hosts of the zone, or only in
 * this zone.
 */
export class ZoneBucket {
	/** Tokens that hosts of the zone hold for later operations. */
	held = 0;
	/** Monotonic time before which other zones are not asked for tokens again, in milliseconds. */
	loansBlockedUntil = Number.NEGATIVE_INFINITY;
	readonly #demand = new DemandEstimate();
	readonly #borrowed = new ExpiringTokens();
	readonly #lent = new ExpiringTokens();
	#level: number;
	#credit: number;
	#limit: EffectiveLimit;
	#nextTokenAt = Number.NEGATIVE_INFINITY;
	#share = 0;
	#capacity = 0;

	/**
	 * @param limit - Limit of the workspace on all hosts together.
	 * @param level - Tokens at the start.
	 * @param credit - Present credit of the zone.
	 */
	constructor(limit: EffectiveLimit, level: number, credit: number) {
		this.#limit = limit;
		this.#level = limit.rate > 0 ? level : 0;
		this.#credit = credit;
	}

	/** Number of tokens that can be granted or lent. */
	get available(): number {
		return this.#level + this.#borrowed.count;
	}

	/** Changes the limit. Tokens that exceed a lower one are lost with the next call of `settle`. */
	setLimit(limit: EffectiveLimit): void {
		this.#limit = limit;
	}

	/** Adds the tokens that have accrued, and removes those that have expired or exceed the capacity. */
	settle(now: number, {credit, share, minimumCapacity}: ZoneEntitlement): void {
		// The lender no longer counts an expired loan, so that its tokens have to fit into the capacity of this zone.
		this.#level += (this.#limit.rate * (credit - this.#credit)) + this.#borrowed.expire(now);
		this.#lent.expire(now);
		this.#credit = credit;
		this.#share = share;
		this.#capacity = this.#limit.rate > 0 ? Math.max(minimumCapacity, this.#limit.capacity * share) : 0;
		this.#level = Math.min(this.#level, Math.max(0, this.#capacity - this.held - this.#lent.count));
	}

	/** Returns tokens that a host did not use. */
	giveBack(count: number): void {
		this.#level += count;
	}

	/** Grants whole tokens for waiting operations, which use them at once; returns their number. */
	grant(needed: number, now: number): number {
		this.#demand.add(needed, now);
		return this.#take(Math.min(needed, this.available));
	}

	/**
	 * Grants whole tokens for later operations from the upper half of the bucket; returns their number. Borrowed tokens are
	 * not granted ahead, because most of these would expire.
	 */
	grantAhead(wanted: number): number {
		const count = this.#take(Math.min(wanted, this.#level - (this.#capacity / 2)));
		this.held += count;
		return count;
	}

	/** Returns how many tokens to borrow for a number of waiting operations. */
	getLoanRequest(missing: number, now: number): number {
		return Math.max(0, missing - this.available) + (this.#demand.get(now) * borrowedAheadMilliseconds);
	}

	/** Adds borrowed tokens. A fixed time after they were requested, they no longer exceed the capacity. */
	borrow(count: number, requestedAt: number): void {
		this.#borrowed.add(count, requestedAt + loanMilliseconds);
	}

	/**
	 * Lends up to a number of tokens, which may be fractional; returns how many. They count towards the capacity of this zone
	 * for as long after the response as they may exceed that of the borrower after its request.
	 */
	lend(wanted: number, now: number): number {
		const lent = Math.max(0, Math.min(wanted, this.#level - (this.#demand.get(now) * reservedMilliseconds)));
		this.#level -= lent;
		this.#lent.add(lent, now + loanMilliseconds);
		return lent;
	}

	/**
	 * Returns after what time a host that was refused should ask again, in milliseconds. Hosts that are refused one after the
	 * other are told increasing times, because each token serves only one of them.
	 */
	reserveRetry(now: number): number {
		const rate = this.#limit.rate * this.#share;
		if (rate <= 0) {
			return maximumRetryMilliseconds;
		}

		const earliest = now + (Math.max(0, 1 - this.available) / rate);
		this.#nextTokenAt = Math.min(Math.max(earliest, this.#nextTokenAt + (1 / rate)), now + maximumRetryMilliseconds);
		return Math.max(minimumRetryMilliseconds, Math.ceil(this.#nextTokenAt - now));
	}

	#take(maximum: number): number {
		const count = Math.max(0, Math.floor(maximum + roundingError));
		this.#level = Math.max(0, this.#level - (count - this.#borrowed.take(count)));
		return count;
	}
}
