import {compareLogPositions, type LogPosition} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {InstanceRole, type InstanceStatus} from '../group-view.js';
import {ConfirmationError, type ConfirmationOptions} from '../term-confirmation.js';
import {getMajority} from './majority.js';

/** What a confirmation must prove. The time limit belongs to each call. */
export type ConfirmationRequirements = Pick<ConfirmationOptions, 'expectedTerm' | 'replicated'>;

/** Outcome of a confirmation. */
export type ConfirmationResult = Result<LogPosition, ConfirmationError>;

/**
 * Proof for the calls of `confirm` that began between the same two questions and have the same options, built from answers to questions that were sent after the calls began.
 *
 * A newer primary exists only after its term was raised on a majority. Two majorities share a member, and the term of a
 * member never decreases. So when a majority answers with the term T of the primary, no newer primary existed when the
 * first of these questions was sent. Members ahead of T do not weaken the proof as long as a majority is at T. They are
 * ignored, because a promoter that died after it raised a minority would otherwise stop the writes of a healthy primary.
 *
 * With `replicated`, a member counts only while it is at term T and holds the position of the primary. It accepted that
 * position before any later raise. Each later raised majority therefore has a member with the position, and the promoter
 * chooses the greatest position. This needs the acknowledged write to be an entry of term T, which `expectedTerm` ensures.
 */
export class PendingConfirmation {
	/** Number of the last question that was sent before the calls began. */
	readonly startedAfterRequest: number;
	readonly primary: string;
	readonly #members: readonly string[];
	readonly #options: ConfirmationRequirements;
	readonly #responses = new Map<string, InstanceStatus>();
	readonly #waiters = new Set<(result: ConfirmationResult) => void>();
	#primaryStatus: InstanceStatus | undefined;

	/**
	 * @param call - Members of the group, the instance taken for the primary, and the number of the last question.
	 * @param options - What must hold.
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
	 * Tells whether another answer of a member could help.
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
	 * Tells whether a member answered since the call began.
	 *
	 * @param instance - Name of the member.
	 */
	hasResponse(instance: string): boolean {
		return this.#responses.has(instance);
	}

	/**
	 * Takes an answer.
	 *
	 * @param requestNumber - Number of the question. Questions sent before the call began prove nothing.
	 * @param status - Status in the answer.
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

	/** Number of calls that still wait. */
	get waiterCount(): number {
		return this.#waiters.size;
	}

	/**
	 * Adds a call.
	 *
	 * @param waiter - Receives the outcome.
	 */
	addWaiter(waiter: (result: ConfirmationResult) => void): void {
		this.#waiters.add(waiter);
	}

	/**
	 * Ends one call without a proof.
	 *
	 * @param waiter - The function with which the call was added.
	 */
	expireWaiter(waiter: (result: ConfirmationResult) => void): void {
		this.#waiters.delete(waiter);
		waiter(err(ConfirmationError.TimedOut));
	}

	/** Ends all calls without a proof. */
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
