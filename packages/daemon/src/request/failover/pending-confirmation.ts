import {compareLogPositions, type LogPosition} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {InstanceRole, type InstanceStatus} from '../group-view.js';
import {ConfirmationError, type ConfirmationOptions} from '../term-confirmation.js';
import {getMajority} from './majority.js';

/** Conditions of a confirmation. The time limit is specific to each call. */
export type ConfirmationRequirements = Pick<ConfirmationOptions, 'expectedTerm' | 'replicated'>;

/** Outcome of a confirmation. */
export type ConfirmationResult = Result<LogPosition, ConfirmationError>;

/**
 * Shared state of the `confirm` calls that have the same options and started between the same two requests. Only responses
 * to requests sent after these calls started are evaluated.
 *
 * A newer primary can exist only after its term was raised on a majority. Two majorities share a member, and the term of
 * a member never decreases. So if a majority responds with the term T of the primary, no newer primary existed when the
 * first of these requests was sent. Members above T do not invalidate the proof as long as a majority is at T. They are
 * ignored; otherwise a promoter that crashed after raising a minority would stop the writes of a healthy primary.
 *
 * With `replicated`, a member counts only if it is at term T and has reached the position of the primary, so it did so
 * before accepting any greater term. Every majority raised later therefore includes a member that has the position, and
 * the promoter chooses the greatest one. The acknowledged write must be an entry of term T, which `expectedTerm` ensures.
 */
export class PendingConfirmation {
	/** Number of the latest request sent before the calls started. */
	readonly startedAfterRequest: number;
	readonly primary: string;
	readonly #members: readonly string[];
	readonly #options: ConfirmationRequirements;
	readonly #responses = new Map<string, InstanceStatus>();
	readonly #waiters = new Set<(result: ConfirmationResult) => void>();
	#primaryStatus: InstanceStatus | undefined;

	/**
	 * @param call - Members of the group, presumed primary, and number of the latest request.
	 * @param options - Conditions to confirm.
	 */
	constructor(
		call: {readonly members: readonly string[]; readonly primary: string; readonly startedAfterRequest: number},
		options: ConfirmationRequirements,
	) {
		this.startedAfterRequest = call.startedAfterRequest;
		this.primary = call.primary;
		this.#members = call.members;
		this.#options = options;
	}

	/**
	 * Returns whether another response of a member can contribute to the outcome.
	 *
	 * @param instance - Name of the member.
	 */
	needsResponse(instance: string): boolean {
		if (!this.#responses.has(instance)) {
			return true;
		}

		return this.#primaryStatus !== undefined && !this.#countsTowardMajority(instance);
	}

	/**
	 * Returns whether a member has responded since the calls started.
	 *
	 * @param instance - Name of the member.
	 */
	hasResponse(instance: string): boolean {
		return this.#responses.has(instance);
	}

	/**
	 * Records a response and completes the calls once the outcome is known.
	 *
	 * @param requestNumber - Number of the request. Responses to requests sent before the calls started are ignored.
	 * @param status - Status in the response.
	 * @returns Whether the outcome is known.
	 */
	recordResponse(requestNumber: number, status: InstanceStatus): boolean {
		if (requestNumber <= this.startedAfterRequest) {
			return false;
		}

		this.#responses.set(status.instance, status);
		if (status.instance === this.primary) {
			this.#primaryStatus ??= status;
		}

		const result = this.#evaluate();
		if (result) {
			this.#finish(result);
		}

		return result !== undefined;
	}

	/** Number of waiting calls. */
	get waiterCount(): number {
		return this.#waiters.size;
	}

	/**
	 * Adds a waiting call.
	 *
	 * @param waiter - Receives the outcome.
	 */
	addWaiter(waiter: (result: ConfirmationResult) => void): void {
		this.#waiters.add(waiter);
	}

	/**
	 * Fails one call with a timeout.
	 *
	 * @param waiter - Function that was passed to `addWaiter`.
	 */
	expireWaiter(waiter: (result: ConfirmationResult) => void): void {
		this.#waiters.delete(waiter);
		waiter(err(ConfirmationError.TimedOut));
	}

	/** Fails all calls with a timeout. */
	close(): void {
		this.#finish(err(ConfirmationError.TimedOut));
	}

	#finish(result: ConfirmationResult): void {
		for (const waiter of this.#waiters) {
			waiter(result);
		}

		this.#waiters.clear();
	}

	#evaluate(): ConfirmationResult | undefined {
		const primary = this.#primaryStatus;
		const {expectedTerm} = this.#options;
		if (primary && (primary.role !== InstanceRole.Primary || (expectedTerm ?? primary.term) !== primary.term)) {
			return err(ConfirmationError.Replaced);
		}

		const term = primary?.term ?? expectedTerm;
		if (term === undefined) {
			return undefined;
		}

		const majority = getMajority(this.#members.length);
		const membersAboveTerm = this.#members.filter(member => (this.#responses.get(member)?.term ?? 0) > term).length;
		if (this.#members.length - membersAboveTerm < majority) {
			return err(ConfirmationError.Replaced);
		}

		if (!primary || this.#members.filter(member => this.#countsTowardMajority(member)).length < majority) {
			return undefined;
		}

		return ok(primary.position);
	}

	#countsTowardMajority(instance: string): boolean {
		const primary = this.#primaryStatus;
		if (instance === this.primary) {
			return primary !== undefined;
		}

		const status = this.#responses.get(instance);
		if (!primary || status?.term !== primary.term) {
			return false;
		}

		return !this.#options.replicated || compareLogPositions(status.position, primary.position) >= 0;
	}
}
