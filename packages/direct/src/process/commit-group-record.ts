import {type StoreTransaction} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision} from '@tarragonstack/core/adapters/store-revision';
import {type GroupRecord, type VersionedGroupRecord} from './group-record.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {callTimeoutMilliseconds, type PromotionContext} from './promotion-context.js';

/**
 * Writes the record of a group if neither the record nor the promoter has changed in the store.
 *
 * @param context - Dependencies.
 * @param group - Group of the record.
 * @param revision - Revision on which the change is based; 0 for the first record.
 * @param record - New record.
 * @returns The record, or `undefined` if it was not written or the reply was lost. The next attempt finds out which.
 */
export async function commitGroupRecord(
	context: Pick<PromotionContext, 'store' | 'fleet' | 'timer' | 'log' | 'era'>,
	group: InstanceGroupState,
	revision: number,
	record: GroupRecord,
): Promise<VersionedGroupRecord | undefined> {
	const {store, fleet, timer, log, era: {keys}} = context;
	const key = `${keys.groupPrefix}${group.name}`;
	const expected: StoreTransaction['expected'] = [
		{key, revision},
		...(revision === 0 ? [] : [{key: keys.promoter, revision: fleet.promoter?.revision ?? 0}]),
	];
	const text = JSON.stringify(record);
	const outcome = await store.commit({expected, writes: [{key, value: text}], removals: []}, callTimeoutMilliseconds);
	if (outcome.isErr()) {
		log.write('change-unconfirmed', {group: group.name, phase: record.phase, reason: outcome.error.message});
		return undefined;
	}

	// If the stored text is identical, an earlier call whose reply was lost has already written this change.
	const current = outcome.value.committed ? undefined : outcome.value.current.find(item => item.key === key);
	if (!outcome.value.committed && current?.value !== text) {
		log.write('change-conflict', {group: group.name, phase: record.phase, revision: current && formatRevision(current.revision)});
		return undefined;
	}

	const versioned: VersionedGroupRecord = {
		...record, revision: outcome.value.committed ? outcome.value.revision : current!.revision, learntAt: timer.now(),
	};
	group.updateRecord(versioned);
	return versioned;
}
