import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';
import {type InstanceProcess, isSameProcess, type SynchronousSet} from './synchronous-set.js';

/** Log position that a process has reported. */
export type PositionReport = InstanceProcess & {
	readonly received: LogPosition;
};

/** What is known, after all hosts have released a primary, of the commits that were acknowledged before. */
export type CommitEvidence = {
	/** Processes that may hold acknowledged commits. */
	readonly set: SynchronousSet;
	/** Instance that was released. */
	readonly primary: string;
	/** Position of the released primary, or `undefined` if it does not respond as a primary. */
	readonly primaryPosition?: LogPosition | undefined;
	/** Reports of the other instances. */
	readonly reports: readonly PositionReport[];
	/** Required position that was established earlier in the same change. */
	readonly established?: LogPosition | undefined;
};

/** Position that an instance must have received before it may be promoted. */
export type PositionRequirement = {
	/** Position that covers every acknowledged commit, or `undefined` if none is known. */
	readonly position?: LogPosition | undefined;
	/** Processes of which too few have reported. Empty if the position is known. */
	readonly missing: readonly InstanceProcess[];
};

/**
 * Finds a log position that covers every commit acknowledged before all hosts released the primary.
 *
 * Of any `members - synchronousReplicas + 1` members besides the primary, at least one holds each acknowledged commit. A process
 * that has left without a trace counts as a member that does not report. If the set is unproven, only the primary can tell.
 *
 * @param evidence - Reports that were made after the release.
 */
export function findRequiredPosition({set, primary, primaryPosition, reports, established}: CommitEvidence): PositionRequirement {
	if (established) {
		return {position: established, missing: []};
	}

	const holders = set.members.filter(({id}) => id !== primary);
	const missing = holders.filter(holder => !reports.some(report => isSameProcess(holder, report)));
	const newest = reports.map(({received}) => received).toSorted(compareLogPositions).at(-1);
	if (newest && !set.isUnproven && holders.length - missing.length >= Math.max(1, holders.length - set.synchronousReplicas + 1)) {
		return {position: newest, missing: []};
	}

	// A primary that is behind its replicas has lost its log.
	const isPrimaryWhole = primaryPosition && (!newest || compareLogPositions(primaryPosition, newest) >= 0);
	return isPrimaryWhole ? {position: primaryPosition, missing: []} : {missing};
}
