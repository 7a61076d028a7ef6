import {compareLogPositions, type GroupDefinition} from '@tarragonstack/core';
import {type InstanceStatus} from '../group-view.js';

/** Preferences among candidates with equal positions. */
export type CandidatePreferences = {
	/** Instance that the operator asked for. */
	readonly requested?: string;
	/** Last known primary. */
	readonly currentPrimary?: string;
	/** Whether the last primary is to be replaced. Otherwise it is preferred, because its connections can stay. */
	readonly replaceCurrentPrimary: boolean;
};

/**
 * Chooses the instance to promote among those that accepted the raise.
 *
 * The greatest position always wins, because with `replicated` a lower one may lack acknowledged writes. A leaving
 * instance is chosen over a non-leaving one only when it alone holds the greatest position; the planned switchover then
 * moves the primary on as soon as another instance has caught up.
 *
 * @param group - Definition of the group.
 * @param raised - Status of each raised instance after the raise.
 * @param preferences - Order among equal positions.
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
