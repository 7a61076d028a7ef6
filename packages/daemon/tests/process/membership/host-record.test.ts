import {fc, test} from '@fast-check/vitest';
import {describe, expect} from 'vitest';
import {HostState} from '../../../src/index.js';
import {mergeHostRecords, type HostRecord} from '../../../src/process/membership/host-record.js';

const record: fc.Arbitrary<HostRecord> = fc.record({
	name: fc.constantFrom('host-1', 'host-2', 'host-3'),
	availabilityZone: fc.constantFrom('oviedo', 'gijon'),
	peerAddress: fc.constantFrom('127.0.0.1:1', '127.0.0.2:1'),
	incarnation: fc.integer({min: 0, max: 4}),
	state: fc.constantFrom(HostState.Live, HostState.Leaving, HostState.Unreachable),
});

function mergeAll(records: readonly HostRecord[]): Map<string, HostRecord> {
	const result = new Map<string, HostRecord>();
	for (const received of records) {
		result.set(received.name, mergeHostRecords(result.get(received.name), received));
	}

	return new Map([...result].toSorted(([left], [right]) => left < right ? -1 : 1));
}

describe('mergeHostRecords', () => {
	test.prop([fc.array(record, {maxLength: 20}).chain(records => fc.tuple(
		fc.constant(records),
		fc.shuffledSubarray([...records, ...records], {minLength: records.length * 2, maxLength: records.length * 2}),
	))])('gives the same result for any order and repetition of messages', ([records, received]) => {
		expect(mergeAll(received)).toEqual(mergeAll(records));
	});

	test.prop([fc.array(record, {maxLength: 20}), fc.array(record, {maxLength: 20})])('gives the same result when lost records arrive later, merged by another host', (left, right) => {
		const relayed = [...mergeAll(left).values()];
		expect(mergeAll([...right, ...relayed])).toEqual(mergeAll([...left, ...right]));
	});

	test.prop([record, fc.integer({min: 1, max: 3})])('prefers a greater incarnation over any state, so that a host can refute a suspicion', (known, raised) => {
		const refutation = {...known, incarnation: known.incarnation + raised, state: HostState.Live};
		expect(mergeHostRecords(known, refutation)).toEqual(refutation);
	});
});
