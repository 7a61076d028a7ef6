import {
	compareLogPositions, type GroupDefinition, type LogPosition, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {InstanceRole, type InstanceStatus} from '../group-view.js';
import {type CandidatePreferences, chooseCandidate} from './candidate-choice.js';
import {type ControlError, type ControlOutcome, type InstanceControl} from './instance-control.js';
import {getMajority} from './majority.js';

/** Reason for a failed promotion. */
export enum PromotionError {
	/** This host owns no member of the group, or the group does not exist. */
	UnknownGroup = 'unknown-group',
	/** Another promotion of this host is in progress. */
	InProgress = 'in-progress',
	/** No majority accepted the term, or the primary to replace in a switchover did not accept it. */
	NoMajority = 'no-majority',
	/** The candidate did not confirm the promotion; another promoter may have raised a greater term. */
	NotPromoted = 'not-promoted',
	/** The attempt took so long that its observations are outdated. */
	TooSlow = 'too-slow',
	/** Another instance was promoted because the requested one lacks log entries. */
	CandidateBehind = 'candidate-behind',
}

/** Time limit of each `raise` and `promote` operation, in milliseconds. */
const operationTimeoutMilliseconds = 300;

/** Time to wait for the remaining members after a majority has accepted the term, in milliseconds. */
const raiseGraceMilliseconds = 20;

/** Duration after which an attempt no longer sends `promote`, as the process was probably paused, in milliseconds. */
const maximumAttemptMilliseconds = 1000;

/**
 * Maximum time for a replica to catch up with the primary that was made read-only, in milliseconds. The time limit of each
 * status request is half of it.
 */
const catchUpTimeoutMilliseconds = 200;

/** Interval between status requests while a replica catches up, in milliseconds. */
const catchUpPollMilliseconds = 3;

/** Options of a promotion attempt. */
export type PromotionAttemptOptions = {
	readonly timerService: TimerService;
	readonly group: GroupDefinition;
	/** Term to raise; greater than all known terms. */
	readonly term: number;
	/** Name by which instances recognize this attempt. It is unique and never used again. */
	readonly promoter: string;
	readonly preferences: CandidatePreferences;
	/** Working primary to replace. Its term is raised first, which makes it read-only, so that a replica can receive its last entries. */
	readonly switchoverFrom?: string;
	/** Returns the control connection to an instance, if this host has one. */
	getControl(instance: string): InstanceControl | undefined;
	/** Receives the status of each response. */
	onStatus(status: InstanceStatus): void;
};

/**
 * Raises a term on a majority and promotes the member with the greatest position among those that accepted it.
 *
 * `promote` is sent to one instance only and never repeated: after a lost response, that instance may be the primary of
 * the term, so another one can only be promoted with a greater term. An instance accepts a term from one promoter only, and
 * a promotion requires that a majority accepted it. As the promoter name is unique, at most one attempt can promote an
 * instance in a term, so a term has at most one primary.
 */
export class PromotionAttempt {
	readonly #options: PromotionAttemptOptions;
	readonly #raised = new Map<string, InstanceStatus>();
	readonly #startedAt: number;

	/**
	 * @param options - Options of the attempt.
	 */
	constructor(options: PromotionAttemptOptions) {
		this.#options = options;
		this.#startedAt = options.timerService.now();
	}

	/** Executes the attempt and returns the status of the new primary. */
	async run(): Promise<Result<InstanceStatus, PromotionError>> {
		const {group, preferences, switchoverFrom} = this.#options;
		if (switchoverFrom !== undefined) {
			await this.#raise(switchoverFrom);
			const raisedPrimary = this.#raised.get(switchoverFrom);
			if (!raisedPrimary) {
				return err(PromotionError.NoMajority);
			}

			await this.#waitForReplica(switchoverFrom, raisedPrimary.position);
		}

		await this.#raiseAll();
		if (this.#raised.size < getMajority(group.instances.length)) {
			return err(PromotionError.NoMajority);
		}

		if (this.#options.timerService.now() - this.#startedAt > maximumAttemptMilliseconds) {
			return err(PromotionError.TooSlow);
		}

		const candidate = chooseCandidate(group, [...this.#raised.values()], preferences);
		return candidate ? this.#promote(candidate.instance) : err(PromotionError.NoMajority);
	}

	async #raise(instance: string): Promise<void> {
		const {term, promoter} = this.#options;
		const response = await this.#options.getControl(instance)
			?.raise(term, promoter, {timeoutMilliseconds: operationTimeoutMilliseconds});
		const status = this.#reportAndGetStatus(response);
		if (status?.term === term && status.promoter === promoter) {
			this.#raised.set(instance, status);
		}
	}

	/**
	 * Raises the term on the members that have not accepted it yet. Resolves when all have responded, or shortly after a
	 * majority has accepted.
	 */
	async #raiseAll(): Promise<void> {
		const {timerService, group} = this.#options;
		const majority = getMajority(group.instances.length);
		const grace = new AbortController();
		const others = group.instances.filter(instance => !this.#raised.has(instance.name));
		const majorityReached = new Promise<void>(resolve => {
			const raiseOne = async (instance: string): Promise<void> => {
				await this.#raise(instance);
				if (this.#raised.size >= majority) {
					resolve();
				}
			};

			void (async () => {
				await Promise.all(others.map(instance => raiseOne(instance.name)));
				grace.abort();
				resolve();
			})();
		});
		await majorityReached;
		await timerService.sleep(raiseGraceMilliseconds, grace.signal);
	}

	async #waitForReplica(primary: string, position: LogPosition): Promise<void> {
		const {timerService, group, preferences} = this.#options;
		const candidates = group.instances.filter(instance => instance.name !== primary
			&& (preferences.requested === undefined ? !instance.leaving : instance.name === preferences.requested));
		const deadline = timerService.now() + catchUpTimeoutMilliseconds;
		while (timerService.now() < deadline) {
			const caughtUp = await Promise.all(candidates.map(instance => this.#hasReached(instance.name, position)));
			if (caughtUp.includes(true)) {
				return;
			}

			await timerService.sleep(catchUpPollMilliseconds);
		}
	}

	async #hasReached(instance: string, position: LogPosition): Promise<boolean> {
		const response = await this.#options.getControl(instance)?.status({timeoutMilliseconds: catchUpTimeoutMilliseconds / 2});
		if (!response?.isOk()) {
			return false;
		}

		this.#options.onStatus(response.value);
		return compareLogPositions(response.value.position, position) >= 0;
	}

	async #promote(instance: string): Promise<Result<InstanceStatus, PromotionError>> {
		const {term, promoter} = this.#options;
		const response = await this.#options.getControl(instance)
			?.promote(term, promoter, {timeoutMilliseconds: operationTimeoutMilliseconds});
		const status = this.#reportAndGetStatus(response);
		const promoted = status?.role === InstanceRole.Primary && status.term === term && status.promoter === promoter;
		return promoted ? ok(status) : err(PromotionError.NotPromoted);
	}

	/** Passes the status of a successful response to `onStatus`, and returns it. */
	#reportAndGetStatus(response: Result<ControlOutcome, ControlError> | undefined): InstanceStatus | undefined {
		if (!response?.isOk()) {
			return undefined;
		}

		this.#options.onStatus(response.value.status);
		return response.value.status;
	}
}
