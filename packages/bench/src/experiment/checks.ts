import {Rank} from '@tarragonstack/core';
import {type Check, type ExperimentOutcome} from './experiment.js';
import {getCapacity, serviceMilliseconds} from './standard-load.js';

/**
 * Compares a figure with its least permitted value.
 *
 * @param name - What the figure means.
 * @param value - Figure.
 * @param target - Least permitted value.
 */
export function atLeast(name: string, value: number, target: number): Check {
	return {
		name, value, target, isMet: value >= target,
	};
}

/**
 * Compares a figure with its greatest permitted value.
 *
 * @param name - What the figure means.
 * @param value - Figure.
 * @param target - Greatest permitted value.
 */
export function atMost(name: string, value: number, target: number): Check {
	return {
		name, value, target, isMet: value <= target,
	};
}

/**
 * Returns the slot time of the on-time answers of a rank as a share of the capacity.
 *
 * @param outcome - Outcome of an experiment.
 * @param rank - Rank.
 */
export function getOnTimeUtilization({ended, deployment, measuredMilliseconds}: ExperimentOutcome, rank: Rank): number {
	return ended[rank]!.onTime / (getCapacity(deployment) * measuredMilliseconds / 1000);
}

/**
 * Checks that the overloaded rank receives 90% of what the others leave.
 *
 * @param outcome - Outcome of an experiment.
 */
export function checkLeftCapacity(outcome: ExperimentOutcome): Check {
	const left = 1 - getOnTimeUtilization(outcome, Rank.Urgent) - getOnTimeUtilization(outcome, Rank.Middle);
	return atLeast('least, on time, share of the capacity that is left', getOnTimeUtilization(outcome, Rank.Least) / left, 0.9);
}

/**
 * Checks that urgent work receives 90% of the capacity beside the floors, and that the other ranks keep their floors.
 *
 * @param outcome - Outcome of an experiment.
 */
export function checkFloors(outcome: ExperimentOutcome): Check[] {
	const {contract, ranks, ended, measuredMilliseconds, deployment} = outcome;
	const others = [Rank.Middle, Rank.Least];
	let floors = 0;
	for (const rank of others) {
		floors += contract.ranks[rank].floorShare;
	}

	const capacity = getCapacity(deployment) * measuredMilliseconds / 1000;
	return [
		atLeast('urgent, on time, share of the capacity less the floors', getOnTimeUtilization(outcome, Rank.Urgent) / (1 - floors), 0.9),
		...others.map(rank => {
			const floor = Math.min(contract.ranks[rank].floorShare, ranks[rank]!.offered / capacity);
			return atLeast(`${rank}, answered, share of its floor (${serviceMilliseconds} ms a statement)`, (ended[rank]!.onTime + ended[rank]!.late) / capacity / floor, 1);
		}),
	];
}
