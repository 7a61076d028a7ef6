import {compareLogPositions, type GroupDefinition} from '@tarragonstack/core';
import {type InstanceStatus} from '../group-view.js';

/** Criteria that order candidates with equal positions. */
export type CandidatePreferences = {
	/** Instance requested by the operator. */
	readonly requested?: string;
	/** Last known primary. */
	readonly currentPrimary?: string;
	/** Whether to replace the last primary. Otherwise it is preferred, because its connections can remain open. */
	readonly replaceCurrentPrimary: boolean;
};

/**
 * Chooses the instance to promote among those that accepted the raised term.
 *
 * The greatest position always takes precedence, because an instance with a lower one may lack writes that were
 * acknowledged as `replicated`. A leaving instance is chosen over a non-leaving one only if no other has the greatest
 * position; a planned switchover then replaces it as soon as another instance has caught up.
 *
 * @param group - Definition of the group.
 * @param raised - Status of each instance after it accepted the term.
 * @param preferences - Criteria that order equal positions.
 */
export function chooseCandidate(
	group: GroupDefinition,
	raised: readonly InstanceStatus[],
	preferences: CandidatePreferences,
): InstanceStatus | undefined {
	const names = group.instances.map(instance => instance.name);
	const leaving = new Set(group.instances.filter(instance => instance.leaving).map(instance => instance.name));
	const getRanks = (status: InstanceStatus) => [
		status.instance === preferences.requested ? 0 : 1,
		leaving.has(status.instance) ? 1 : 0,
		(status.instance === preferences.currentPrimary) === preferences.replaceCurrentPrimary ? 1 : 0,
		names.indexOf(status.instance),
	];
	const compare = (left: InstanceStatus, right: InstanceStatus): number => {
		const rightRanks = getRanks(right);
		const differences = getRanks(left).map((rank, index) => rank - (rightRanks[index] ?? 0));
		return compareLogPositions(right.position, left.position) || (differences.find(difference => difference !== 0) ?? 0);
	};

	return raised.toSorted(compare)[0];
}
