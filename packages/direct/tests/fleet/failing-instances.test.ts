import {describe, expect, it} from 'vitest';
import {type ClientSession, Consistency, StatementErrorCode, StatementKind} from '../../src/index.js';
import {FakeFleet} from './fake-fleet.js';

const codes = [StatementErrorCode.Failed, StatementErrorCode.TimedOut];

async function commitAfterWrite(fleet: FakeFleet, session: ClientSession) {
	await fleet.run(session, StatementKind.Begin);
	await fleet.run(session, StatementKind.Write);
	return fleet.run(session, StatementKind.Commit);
}

describe('instances that fail statements while their health is good', () => {
	// Guards against failures that reach the client although another attempt can succeed.
	it.each(codes.flatMap(code => [
		{name: 'a read', code, act: async (fleet: FakeFleet, session: ClientSession) => fleet.run(session, StatementKind.Read), commits: 0},
		{name: 'a transaction whose first statement fails', code, act: commitAfterWrite, commits: 1},
	]))('serve $name after one error $code', async ({code, act, commits}) => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		fleet.group.get('orders-0').nextErrors.push(code);
		const result = await act(fleet, fleet.openSession(0, Consistency.Primary));
		expect(result.error).toBeUndefined();
		expect(fleet.group.commits).toHaveLength(commits);
	});

	// Guards against a write that runs twice: a failed one has run, and which of its effects persist is unknown.
	it.each(codes)('never run a single write again after the error %s', async code => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		fleet.group.get('orders-0').nextErrors.push(code);
		const result = await fleet.run(fleet.openSession(0, Consistency.Primary), StatementKind.Write);
		expect(result.error?.code).toBe(code);
		expect(fleet.group.commits).toEqual([]);
	});

	// Guards against a statement that always fails and is retried until its deadline.
	it('pass the error on after three attempts', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		const primary = fleet.group.get('orders-0');
		primary.nextErrors.push(...Array.from({length: 10}, () => StatementErrorCode.Failed));
		const result = await fleet.run(fleet.openSession(0, Consistency.Primary), StatementKind.Read);
		expect(result.error?.code).toBe(StatementErrorCode.Failed);
		expect(primary.nextErrors).toHaveLength(7);
	});

	// Guards against a replica that keeps receiving half of the reads although it fails most of them.
	it('send most reads to the replica that serves them', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		const writer = fleet.openSession(0, Consistency.Primary);
		await fleet.run(writer, StatementKind.Write);
		const session = fleet.openSession(0, Consistency.BoundedStaleness);
		const failing = fleet.group.get('orders-1');
		const healthy = fleet.group.get('orders-2');
		failing.nextErrors.push(...Array.from({length: 100}, () => StatementErrorCode.Failed));
		const attempts = 60;
		for (let attempt = 0; attempt < attempts; attempt++) {
			const result = await fleet.run(session, StatementKind.Read);
			expect(result.error).toBeUndefined();
			await fleet.timer.advance(20);
		}

		const served = fleet.group.runs.filter(({instance}) => instance === healthy.entry.id).length;
		expect(served).toBeGreaterThan(attempts * 0.8);
		expect(100 - failing.nextErrors.length).toBeLessThan(attempts * 0.25);
	});
});
