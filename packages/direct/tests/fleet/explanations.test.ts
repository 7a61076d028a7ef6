import {describe, expect, it} from 'vitest';
import {Consistency, InstanceRole, StatementErrorCode, StatementKind} from '../../src/index.js';
import {FakeFleet} from './fake-fleet.js';

/** Returns the log lines of a request, like `grep` for its identifier. */
function findRequest(fleet: FakeFleet, request: string) {
	return fleet.hosts.flatMap(({log}) => log).filter(({fields}) => fields.request === request);
}

/** Returns the log events of a group, like `grep` for its name. */
function findGroupEvents(fleet: FakeFleet): string[] {
	return fleet.hosts.flatMap(({log}) => log).filter(({fields}) => fields.group === 'orders').map(({event}) => event);
}

describe('the log samples', () => {
	// Guards against a log that does not show on which instances statements run, and against a line for each statement.
	it('one statement a second that was served in time, and counts the others', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		const session = fleet.openSession(0, Consistency.Primary);
		const statements = 200;
		for (let count = 0; count < statements; count++) {
			await fleet.run(session, StatementKind.Write);
			await fleet.timer.advance(20);
		}

		const lines = fleet.getEvents('statement-served');
		const elapsedMilliseconds = lines.at(-1)!.at - lines[0]!.at;
		expect(lines.length).toBeGreaterThanOrEqual(4);
		expect(lines.length).toBeLessThanOrEqual((elapsedMilliseconds / 1000) + 1);
		expect(lines[1]!.fields).toMatchObject({instance: 'orders-0', attempts: 1, outcome: 'completed'});
		const skipped = lines.reduce((sum, {fields}) => sum + Number(fields.skipped), 0);
		expect(skipped + lines.length).toBeLessThanOrEqual(statements);
		expect(skipped + lines.length).toBeGreaterThan(statements * 0.7);
	});
});

// Each test follows the steps of docs/OPERATIONS.md from the identifier of a request to the cause of its outcome.
describe('the log explains', () => {
	it('a request that was refused under load', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		for (const instance of fleet.group.instances) {
			instance.serviceMilliseconds = 100;
		}

		const results = [];
		for (let count = 0; count < 60; count++) {
			results.push(fleet.openSession(0, Consistency.Primary).execute(fleet.createStatement(StatementKind.Write, {identifier: `load-${count}`})));
		}

		await fleet.timer.advance(3000);
		const codes = (await Promise.all(results)).map(({error}) => error?.code);
		// No statement is sent so late that its outcome would be unknown.
		expect(new Set(codes)).toEqual(new Set([undefined, StatementErrorCode.Overloaded]));
		const refused = codes.indexOf(StatementErrorCode.Overloaded);
		const [line] = findRequest(fleet, `load-${refused}`);
		expect(line).toMatchObject({event: 'statement-failed', fields: {outcome: 'overloaded', attempts: 0, reason: 'no connection became free in time'}});
		expect(Number(line!.fields.waitedMilliseconds)).toBeGreaterThan(800);
		expect(findGroupEvents(fleet)).not.toContain('instance-unreachable');
	});

	it('an unknown outcome after the loss of a primary', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		const writers = fleet.startWriters();
		await fleet.timer.advance(500);
		fleet.group.get('orders-0').responsesToLose = 1;
		fleet.group.get('orders-0').isDown = true;
		await fleet.timer.advance(5000);
		writers.stop();
		await fleet.timer.advance(1500);
		const unknown = writers.results.find(({result}) => result.error?.code === StatementErrorCode.OutcomeUnknown)!;
		const lines = findRequest(fleet, unknown.identifier);
		expect(lines.map(({event}) => event)).toEqual(['statement-unanswered', 'statement-failed']);
		expect(lines[1]!.fields).toMatchObject({outcome: 'outcome-unknown', instance: 'orders-0', attempts: 1});
		expect(findGroupEvents(fleet)).toEqual(expect.arrayContaining(['primary-suspected', 'change-announced', 'change-settled']));
	});

	it('a read that met a lagging replica', async () => {
		const fleet = new FakeFleet();
		await fleet.waitUntilReady();
		const session = fleet.openSession(0, Consistency.ReadYourWrites);
		await fleet.run(session, StatementKind.Write);
		for (const instance of fleet.group.instances) {
			instance.receivesCommits = false;
			instance.serviceMilliseconds = instance.role === InstanceRole.Primary ? 230 : 0;
		}

		const written = await fleet.run(session, StatementKind.Write);
		await fleet.run(session, StatementKind.Read, {identifier: 'lagging'});
		const lines = findRequest(fleet, 'lagging');
		expect(lines).toMatchObject([{event: 'statement-late', fields: {
			outcome: 'completed', instance: 'orders-0', reason: 'behind', minimumPosition: `${written.position!.term}:${written.position!.index}`,
		}}]);
		expect(fleet.getEvents('group-record').at(-1)!.fields.primary).toBe('orders-0');
	});
});
