import {err, ok, type Result} from 'neverthrow';

/** Phases of a change of the primary. */
export enum GroupPhase {
	/** The named primary takes all writes. */
	Settled = 'settled',
	/** Hosts stop using the primary and confirm it. No promotion has been ordered yet. */
	Announced = 'announced',
	/** The promotion of the candidate may have been ordered. */
	Promoting = 'promoting',
}

/** What the fleet agrees on about one group. Kept in the shared store; changed only under a condition on its revision. */
export type GroupRecord = {
	readonly phase: GroupPhase;
	/** Instance that is or was the primary. */
	readonly primary: string;
	/** Term in which the primary leads; 0 until an instance has reported it. */
	readonly term: number;
	/** Instance whose promotion may have been ordered during this change. */
	readonly candidate?: string;
	/** Host that changed the record. */
	readonly promoter: string;
	/** Number that increases with each change of the promoter. */
	readonly fencingToken: number;
	/** Unique identifier of the change. It recognises a change whose reply was lost, and confirmations refer to it. */
	readonly changeIdentifier: string;
};

/** Record with the revision of its last change. */
export type VersionedGroupRecord = GroupRecord & {
	readonly revision: number;
	/** Monotonic time at which this host learnt of the change. */
	readonly learntAt: number;
};

const phases: ReadonlySet<string> = new Set(Object.values(GroupPhase));

/**
 * Reads a record from the text of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is none.
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
