import {type TokenCounters} from './host-tokens.js';
import {type EffectiveLimit} from './limit-tolerance.js';
import {maximumRetryMilliseconds, ZoneBucket, type ZoneEntitlement} from './zone-bucket.js';

/** Time after a report for which the entitlement of its host accrues, in milliseconds. Hosts report twice in that time. */
export const entitlementMilliseconds = 800;

/** Time after a report for which its host counts towards the capacity of the buckets, in milliseconds. */
const countedMilliseconds = 1500;

/** Interval at which accounts without tokens are removed, in milliseconds. */
const pruningIntervalMilliseconds = 10_000;

/** Time for which other zones are not asked again after they had too few tokens, in milliseconds. */
const loanPauseMilliseconds = 60;

/** Counters of a workspace on a host, and the tokens that the host asks for. */
export type TokenRequest = TokenCounters & {
	readonly workspace: string;
	/** Tokens for operations that wait. */
	readonly needed: number;
	/** Tokens for operations that are expected soon. */
	readonly ahead: number;
};

/** Report of a host. */
export type HostReport = {
	readonly host: string;
	/** Identifier of the uninterrupted relation of a host process to a coordinator. */
	readonly session: string;
	/** Number that increases with each report of the session. */
	readonly number: number;
	/** Share of the limits that the host is entitled to, and passes on to the coordinator until `entitlementMilliseconds` later. */
	readonly share: number;
	readonly requests: readonly TokenRequest[];
};

/** Tokens for one workspace on one host. */
export type TokenGrant = {
	readonly workspace: string;
	readonly granted: number;
	/** Waiting operations for which there was no token. */
	readonly missing: number;
};

/** Tokens of a workspace that one zone asks of another, or lends to it. */
export type Loan = {
	readonly workspace: string;
	readonly amount: number;
};

type Account = {
	/** Tokens granted, as far as they were not lost. */
	granted: number;
	/** Counters of the last report. */
	received: number;
	returned: number;
	held: number;
};

type ReportingHost = {
	readonly session: string;
	number: number;
	share: number;
	creditedUntil: number;
	entitledUntil: number;
	countedUntil: number;
	readonly accounts: Map<string, Account>;
};

/**
 * Token buckets of a zone, which its limit coordinator keeps. Answers demand that differs between the hosts of the zone.
 *
 * Tokens are neither created nor stored twice. Each host passes its entitlement on to one coordinator at a time. Tokens in
 * the bucket, held by hosts and lent to other zones together never exceed the capacity.
 */
export class ZoneLimits {
	readonly #hosts = new Map<string, ReportingHost>();
	readonly #buckets = new Map<string, ZoneBucket>();
	readonly #initialTokens: number;
	#limits: ReadonlyMap<string, EffectiveLimit> = new Map();
	#credit = 0;
	#share = 0;
	#prunedAt = 0;

	/**
	 * @param initialTokens - Tokens in each bucket at the start, and its minimum capacity.
	 */
	constructor(initialTokens: number) {
		this.#initialTokens = initialTokens;
	}

	/** Number of hosts that report. */
	get hostCount(): number {
		return this.#hosts.size;
	}

	/** Applies the limits of the configuration in force. */
	setLimits(limits: ReadonlyMap<string, EffectiveLimit>, now: number): void {
		if (limits === this.#limits) {
			return;
		}

		this.advance(now);
		this.#settleAll(now);
		this.#limits = limits;
		for (const [workspace, limit] of limits) {
			const bucket = this.#buckets.get(workspace);
			if (bucket) {
				bucket.setLimit(limit);
			} else {
				this.#buckets.set(workspace, new ZoneBucket(limit, this.#initialTokens, this.#credit));
			}
		}

		for (const workspace of this.#buckets.keys()) {
			if (!limits.has(workspace)) {
				this.#buckets.delete(workspace);
			}
		}

		this.#settleAll(now);
	}

	/**
	 * Applies a report of a host and grants the tokens that the zone has.
	 *
	 * @returns The grants, or `undefined` if a later report of the host is known already.
	 */
	handleReport(report: HostReport, now: number): TokenGrant[] | undefined {
		this.advance(now);
		const host = this.#findHost(report, now);
		if (report.number <= host.number) {
			return undefined;
		}

		host.number = report.number;
		this.#share += report.share - host.share;
		host.share = report.share;
		host.creditedUntil = now;
		host.entitledUntil = now + entitlementMilliseconds;
		host.countedUntil = now + countedMilliseconds;
		for (const request of report.requests) {
			this.#updateAccount(host, request, now);
		}

		return report.requests.map(({workspace, needed, ahead}) => this.#grant(host, workspace, needed, ahead, now));
	}

	/**
	 * Grants tokens for operations of an earlier report that still wait, after tokens were borrowed.
	 *
	 * @returns The number of tokens.
	 */
	grantRest({host, session, number}: HostReport, workspace: string, missing: number, now: number): number {
		const state = this.#hosts.get(host);
		if (state?.session !== session || state.number !== number) {
			return 0;
		}

		this.advance(now);
		return this.#grant(state, workspace, missing, 0, now).granted;
	}

	/** Removes a host that reports to another coordinator from now on. */
	removeHost(name: string, now: number): void {
		this.advance(now);
		const host = this.#hosts.get(name);
		if (host) {
			this.#forget(name, host);
			this.#settleAll(now);
		}
	}

	/** Returns after what time a host that was refused should ask again, in milliseconds. */
	reserveRetry(workspace: string, now: number): number {
		return this.#buckets.get(workspace)?.reserveRetry(now) ?? maximumRetryMilliseconds;
	}

	/** Returns how many tokens to borrow from other zones for a number of waiting operations; 0 if they had none just before. */
	getLoanRequest(workspace: string, missing: number, now: number): number {
		const bucket = this.#buckets.get(workspace);
		return bucket && now >= bucket.loansBlockedUntil ? bucket.getLoanRequest(missing, now) : 0;
	}

	/** Adds tokens that another zone has lent. */
	borrow({workspace, amount}: Loan, requestedAt: number): void {
		this.#buckets.get(workspace)?.borrow(amount, requestedAt);
	}

	/** Notes that the other zones together had too few tokens. */
	pauseLoans(workspace: string, now: number): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket) {
			bucket.loansBlockedUntil = now + loanPauseMilliseconds;
		}
	}

	/** Lends tokens to another zone. */
	lend(requested: readonly Loan[], now: number): Loan[] {
		this.advance(now);
		return requested.map(({workspace, amount}) => ({workspace, amount: this.#settle(workspace, now)?.lend(amount, now) ?? 0}));
	}

	/** Adds the entitlement of the hosts up to a time, and forgets hosts that do not report any longer. */
	advance(now: number): void {
		let hasFewerHosts = false;
		for (const [name, host] of this.#hosts) {
			const until = Math.min(now, host.entitledUntil);
			if (until > host.creditedUntil) {
				this.#credit += host.share * (until - host.creditedUntil);
				host.creditedUntil = until;
			}

			if (now >= host.countedUntil) {
				this.#forget(name, host);
				hasFewerHosts = true;
			}
		}

		if (hasFewerHosts) {
			this.#settleAll(now);
		}

		this.#prune(now);
	}

	get #entitlement(): ZoneEntitlement {
		return {credit: this.#credit, share: this.#share, minimumCapacity: this.#initialTokens};
	}

	#settle(workspace: string, now: number): ZoneBucket | undefined {
		const bucket = this.#buckets.get(workspace);
		bucket?.settle(now, this.#entitlement);
		return bucket;
	}

	#settleAll(now: number): void {
		const entitlement = this.#entitlement;
		for (const bucket of this.#buckets.values()) {
			bucket.settle(now, entitlement);
		}
	}

	#findHost({host: name, session}: HostReport, now: number): ReportingHost {
		const known = this.#hosts.get(name);
		if (known?.session === session) {
			return known;
		}

		// The tokens of an earlier process count as used.
		if (known) {
			this.#forget(name, known);
		}

		const host: ReportingHost = {session, number: -1, share: 0, creditedUntil: now, entitledUntil: now, countedUntil: now, accounts: new Map()};
		this.#hosts.set(name, host);
		return host;
	}

	#forget(name: string, host: ReportingHost): void {
		this.#hosts.delete(name);
		this.#share = this.#hosts.size === 0 ? 0 : this.#share - host.share;
		for (const [workspace, {held}] of host.accounts) {
			const bucket = this.#buckets.get(workspace);
			if (bucket) {
				bucket.held = Math.max(0, bucket.held - held);
			}
		}
	}

	/** Compares the counters of a host with what was granted to it. Grants that it has not received were lost. */
	#updateAccount(host: ReportingHost, {workspace, received, returned, held}: TokenRequest, now: number): void {
		const bucket = this.#settle(workspace, now);
		if (!bucket) {
			return;
		}

		const account = host.accounts.get(workspace) ?? {granted: received, received, returned, held: 0};
		host.accounts.set(workspace, account);
		if (received < account.received || returned < account.returned) {
			// The host has forgotten its counters and begun again. What it had then counts as used.
			account.granted = received;
			account.returned = returned;
		}

		bucket.held = Math.max(0, bucket.held + held - account.held);
		bucket.giveBack(Math.max(0, account.granted - received) + Math.max(0, returned - account.returned));
		account.granted = received;
		account.received = received;
		account.returned = returned;
		account.held = held;
		this.#settle(workspace, now);
	}

	#grant({accounts}: ReportingHost, workspace: string, needed: number, ahead: number, now: number): TokenGrant {
		const bucket = this.#settle(workspace, now);
		const account = accounts.get(workspace);
		if (!bucket || !account) {
			return {workspace, granted: 0, missing: needed};
		}

		const forWaiting = bucket.grant(needed, now);
		const forLater = ahead > 0 ? bucket.grantAhead(ahead) : 0;
		const granted = forWaiting + forLater;
		account.granted += granted;
		account.held += forLater;
		return {workspace, granted, missing: needed - forWaiting};
	}

	#prune(now: number): void {
		if (now < this.#prunedAt + pruningIntervalMilliseconds) {
			return;
		}

		this.#prunedAt = now;
		for (const {accounts} of this.#hosts.values()) {
			for (const [workspace, {held}] of accounts) {
				if (held === 0) {
					accounts.delete(workspace);
				}
			}
		}
	}
}
