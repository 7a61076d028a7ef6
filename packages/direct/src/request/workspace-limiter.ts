import {HostTokens} from './host-tokens.js';
import {admitted, RefusalReason, type LimitDecision} from './limit-decision.js';
import {type EffectiveLimit} from './limit-tolerance.js';
import {maximumRetryMilliseconds} from './zone-bucket.js';
import {type TokenRequest} from './zone-limits.js';

/**
 * Time for which an operation waits for a token, in milliseconds. It covers the replacement of a coordinator that does not
 * respond for 250 ms, and the time in which a small host reads a new configuration.
 */
const maximumWaitMilliseconds = 300;

/** Time after which a client should try again if no coordinator responded, in milliseconds. */
const unansweredRetryMilliseconds = 100;

type WaitingOperation = {
	readonly until: number;
	resolve(decision: LimitDecision): void;
};

type WorkspaceState = {
	readonly tokens: HostTokens;
	readonly waiting: WaitingOperation[];
};

/** Receives the decisions of a `WorkspaceLimiter`. */
export type LimitDecisionRecorder = {
	/** Records a decision; `refusal` is `undefined` if the operation was admitted. */
	record(workspace: string, refusal: RefusalReason | undefined, now: number): void;
};

/**
 * Admits the operations of workspaces on one host. Answers workspaces that send more than their limit: most of their
 * operations are refused without a message.
 */
export class WorkspaceLimiter {
	readonly #recorder: LimitDecisionRecorder;
	readonly #requestTokens: () => void;
	readonly #states = new Map<string, WorkspaceState>();
	/** Workspaces with waiting operations. */
	readonly #waiting = new Set<string>();
	#limits: ReadonlyMap<string, EffectiveLimit> = new Map();

	/**
	 * @param recorder - Receives the decisions.
	 * @param requestTokens - Asks the coordinator for the tokens that are needed.
	 */
	constructor(recorder: LimitDecisionRecorder, requestTokens: () => void) {
		this.#recorder = recorder;
		this.#requestTokens = requestTokens;
	}

	/** Whether any workspace has a limit. */
	get isActive(): boolean {
		return this.#limits.size > 0;
	}

	/** Applies the limits of the configuration in force. Tokens of a workspace whose limit was lowered are returned. */
	setLimits(limits: ReadonlyMap<string, EffectiveLimit>): void {
		const previous = this.#limits;
		this.#limits = limits;
		for (const [workspace, {tokens, waiting}] of this.#states) {
			const limit = limits.get(workspace);
			const former = previous.get(workspace);
			if (!limit) {
				this.#states.delete(workspace);
				this.#waiting.delete(workspace);
				for (const operation of waiting) {
					operation.resolve(admitted);
				}
			} else if (former && (limit.rate !== former.rate || limit.capacity !== former.capacity)) {
				tokens.discard();
			}
		}
	}

	/**
	 * Decides on an operation.
	 *
	 * @param workspace - Name of the workspace.
	 * @param now - Monotonic time, in milliseconds.
	 * @returns The decision, or a promise of it if the host has no token.
	 */
	admit(workspace: string, now: number): LimitDecision | Promise<LimitDecision> {
		const limit = this.#limits.get(workspace);
		if (!limit) {
			return admitted;
		}

		const state = this.#getState(workspace);
		const {tokens} = state;
		if (tokens.takeForArrival(now)) {
			return this.#admit(workspace, now);
		}

		if (limit.rate <= 0 || now < tokens.blockedUntil) {
			return this.#refuse(workspace, limit.rate > 0 ? tokens.blockedUntil - now : maximumRetryMilliseconds, RefusalReason.OverLimit, now);
		}

		return new Promise(resolve => {
			state.waiting.push({until: now + maximumWaitMilliseconds, resolve});
			this.#waiting.add(workspace);
			this.#requestTokens();
		});
	}

	/** Returns the token of an operation that no instance received. */
	giveBack(workspace: string, now: number): void {
		const state = this.#limits.has(workspace) ? this.#states.get(workspace) : undefined;
		state?.tokens.giveBack(now);
	}

	/**
	 * Returns the counters and needs of the workspaces for which a report has news; those with waiting operations first. Forgets
	 * unused workspaces, whose counters begin again at 0.
	 */
	getRequests(now: number): TokenRequest[] {
		const requests: TokenRequest[] = [];
		for (const [workspace, {tokens, waiting}] of this.#states) {
			const ahead = tokens.getPrefetchCount(now);
			const needed = waiting.length;
			const changed = tokens.getChangedCounters(now);
			if (changed !== undefined || needed > 0 || ahead > 0) {
				requests.push({workspace, ...(changed ?? tokens.getCounters(now)), needed, ahead});
			} else if (tokens.isUnused(now)) {
				this.#states.delete(workspace);
			}
		}

		return requests.toSorted((left, right) => right.needed - left.needed);
	}

	/** Returns the counters and needs of the workspaces whose operations wait. */
	getWaitingRequests(now: number): TokenRequest[] {
		return [...this.#waiting].map(workspace => {
			const {tokens, waiting} = this.#getState(workspace);
			return {workspace, ...tokens.getCounters(now), needed: waiting.length, ahead: 0};
		});
	}

	/**
	 * Adds tokens and decides on the operations that wait for them.
	 *
	 * @param workspace - Name of the workspace.
	 * @param granted - Number of tokens.
	 * @param retryMilliseconds - Time until the next token, in milliseconds; 0 if operations may go on waiting.
	 * @param requestedAt - Monotonic time at which the tokens were requested, in milliseconds.
	 * @param now - Monotonic time, in milliseconds.
	 */
	handleGrant({workspace, granted, retryMilliseconds}: {workspace: string; granted: number; retryMilliseconds: number}, requestedAt: number, now: number): void {
		const state = this.#states.get(workspace);
		if (!state) {
			return;
		}

		state.tokens.receive(granted, requestedAt);
		while (state.waiting.length > 0 && state.tokens.take(now)) {
			state.waiting.shift()!.resolve(this.#admit(workspace, now));
		}

		if (retryMilliseconds > 0) {
			state.tokens.blockedUntil = now + retryMilliseconds;
			this.#refuseWaiting(workspace, state.waiting.splice(0), retryMilliseconds, RefusalReason.OverLimit, now);
		}

		if (state.waiting.length === 0) {
			this.#waiting.delete(workspace);
		}
	}

	/** Whether operations wait for tokens. */
	get hasWaiting(): boolean {
		return this.#waiting.size > 0;
	}

	/** Refuses operations that have waited for too long. Called at a fixed interval. */
	expire(now: number): void {
		for (const workspace of this.#waiting) {
			const waiting = this.#states.get(workspace)?.waiting ?? [];
			// Operations arrive in the order in which they expire.
			const remaining = waiting.findIndex(({until}) => until > now);
			this.#refuseWaiting(workspace, waiting.splice(0, remaining === -1 ? waiting.length : remaining), unansweredRetryMilliseconds, RefusalReason.Unanswered, now);
			if (waiting.length === 0) {
				this.#waiting.delete(workspace);
			}
		}
	}

	#getState(workspace: string): WorkspaceState {
		let state = this.#states.get(workspace);
		if (!state) {
			state = {tokens: new HostTokens(), waiting: []};
			this.#states.set(workspace, state);
		}

		return state;
	}

	#admit(workspace: string, now: number): LimitDecision {
		this.#recorder.record(workspace, undefined, now);
		return admitted;
	}

	#refuse(workspace: string, milliseconds: number, reason: RefusalReason, now: number): LimitDecision {
		this.#recorder.record(workspace, reason, now);
		return {isAdmitted: false, retryMilliseconds: Math.max(1, Math.ceil(milliseconds)), reason};
	}

	#refuseWaiting(workspace: string, operations: readonly WaitingOperation[], milliseconds: number, reason: RefusalReason, now: number): void {
		for (const operation of operations) {
			operation.resolve(this.#refuse(workspace, milliseconds, reason, now));
		}
	}
}
