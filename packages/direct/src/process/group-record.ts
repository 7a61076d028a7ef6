import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {err, ok, type Result} from 'neverthrow';
import {type SynchronousSet} from '../request/synchronous-set.js';

/** Phases of a change of the primary. */
export enum GroupPhase {
	/** The primary of the record accepts writes. */
	Settled = 'settled',
	/** Hosts stop using the primary and confirm the change. No promotion has been ordered yet. */
	Announced = 'announced',
	/** The promotion of the candidate may have been ordered. */
	Promoting = 'promoting',
}

/** State of one group that the fleet agrees on. Stored in the shared store; each write is conditional on the revision. */
export type GroupRecord = {
	readonly phase: GroupPhase;
	/** Instance that is the primary, or was before the change. */
	readonly primary: string;
	/** Term of the primary; 0 until an instance has reported it. */
	readonly term: number;
	/** Instance whose promotion may have been ordered during this change. */
	readonly candidate?: string;
	/** Term that the candidate led before its promotion was ordered, if another instance may have been promoted since. */
	readonly candidateTerm?: number;
	/** Host that wrote the record. */
	readonly promoter: string;
	/** Number that increases with each change of the promoter. */
	readonly fencingToken: number;
	/** Unique identifier of the change. Confirmations refer to it, and it identifies a change whose reply was lost. */
	readonly changeIdentifier: string;
	/** Reign of the primary if an earlier record, which the store has lost, named it already. */
	readonly reign?: number;
	/** Whether an earlier record of the change, which the store has lost, may have led to a promotion order. */
	readonly mayBePromoting?: boolean;
	/** Processes that may hold acknowledged commits; absent if a promotion may lose commits. */
	readonly synchronousSet?: SynchronousSet | undefined;
	/** Position that covers every commit acknowledged before the present change, once it has been established. */
	readonly requiredPosition?: LogPosition | undefined;
};

/** Returns the reign of a record's primary: the revision of the record that named it first. */
export function getReign({reign, revision}: VersionedGroupRecord): number {
	return reign ?? revision;
}

/** Record with its revision in the store. */
export type VersionedGroupRecord = GroupRecord & {
	readonly revision: number;
	/** Monotonic time at which this host received the record. */
	readonly learntAt: number;
};

const phases: ReadonlySet<string> = new Set(Object.values(GroupPhase));

/**
 * Parses the value of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is invalid.
 */
export function parseGroupRecord(text: string): Result<GroupRecord, string> {
	try {
		const value = JSON.parse(text) as Partial<GroupRecord>;
		return typeof value.phase === 'string' && phases.has(value.phase)
			&& typeof value.primary === 'string'
			&& typeof value.term === 'number'
			&& typeof value.promoter === 'string'
			&& typeof value.fencingToken === 'number'
			&& typeof value.changeIdentifier === 'string'
			? ok(value as GroupRecord)
			: err('a field is missing or has another type');
	} catch (error) {
		return err(String(error));
	}
}
