import {Rank} from '@tarragonstack/core';
import {type Check, type ExperimentOutcome} from './experiment.js';
import {getCapacity, serviceMilliseconds} from './standard-load.js';

/**
 * Creates a check that a measured value does not fall below a target.
 *
 * @param name - Description of the value.
 * @param value - Measured value.
 * @param target - Minimum permitted value.
 */
export function createMinimumCheck(name: string, value: number, target: number): Check {
	return {
		name, value, target, isMet: value >= target,
	};
}

/**
 * Creates a check that a measured value does not exceed a target.
 *
 * @param name - Description of the value.
 * @param value - Measured value.
 * @param target - Maximum permitted value.
 */
export function createMaximumCheck(name: string, value: number, target: number): Check {
	return {
		name, value, target, isMet: value <= target,
	};
}

/**
 * Returns the slot time spent on on-time responses of a rank, as a share of the capacity.
 *
 * @param outcome - Outcome of an experiment.
 * @param rank - Rank.
 */
export function getOnTimeUtilization({completedInInterval, deployment, measuredMilliseconds}: ExperimentOutcome, rank: Rank): number {
	return completedInInterval[rank]!.onTime / (getCapacity(deployment) * measuredMilliseconds / 1000);
}

/**
 * Checks that the overloaded least rank gets at least 90% of the capacity that the other ranks leave unused.
 *
 * @param outcome - Outcome of an experiment.
 */
export function checkRemainingCapacity(outcome: ExperimentOutcome): Check {
	const remainingShare = 1 - getOnTimeUtilization(outcome, Rank.Urgent) - getOnTimeUtilization(outcome, Rank.Middle);
	return createMinimumCheck('least, on time, share of the capacity that is left', getOnTimeUtilization(outcome, Rank.Least) / remainingShare, 0.9);
}

/**
 * Checks that urgent requests get at least 90% of the capacity that is not reserved by the floors of the other ranks, and
 * that each of these ranks gets its floor.
 *
 * @param outcome - Outcome of an experiment.
 */
export function checkFloors(outcome: ExperimentOutcome): Check[] {
	const {contract, ranks, completedInInterval, measuredMilliseconds, deployment} = outcome;
	const lowerRanks = [Rank.Middle, Rank.Least];
	let reservedShare = 0;
	for (const rank of lowerRanks) {
		reservedShare += contract.ranks[rank].floorShare;
	}

	const capacity = getCapacity(deployment) * measuredMilliseconds / 1000;
	return [
		createMinimumCheck('urgent, on time, share of the capacity less the floors', getOnTimeUtilization(outcome, Rank.Urgent) / (1 - reservedShare), 0.9),
		...lowerRanks.map(rank => {
			const guaranteedShare = Math.min(contract.ranks[rank].floorShare, ranks[rank]!.offered / capacity);
			return createMinimumCheck(
				`${rank}, answered, share of its floor (${serviceMilliseconds} ms a statement)`,
				(completedInInterval[rank]!.onTime + completedInInterval[rank]!.late) / capacity / guaranteedShare,
				1,
			);
		}),
	];
}
