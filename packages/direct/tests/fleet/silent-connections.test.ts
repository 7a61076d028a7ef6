import {describe, expect, it} from 'vitest';
import {Consistency, StatementKind} from '../../src/index.js';
import {FakeFleet} from './fake-fleet.js';

/** Statements that run on a host at the same time before its connections go silent. */
const concurrentStatements = 6;

/** Statement timeout of the routes of a `FakeFleet`, in milliseconds. */
const statementTimeoutMilliseconds = 1000;

describe('connections to the instances that go silent', () => {
	// Guards against statements that fail one after the other, each on another silent connection, although new connections work: the
	// cause of review/4 on the way to the instances.
	it.each([
		{kind: StatementKind.Write, consistency: Consistency.Primary},
		{kind: StatementKind.Read, consistency: Consistency.Primary},
		{kind: StatementKind.Read, consistency: Consistency.BoundedStaleness},
		{kind: StatementKind.Read, consistency: Consistency.ReadYourWrites},
	])('fail no statement for longer than one time limit: $kind, $consistency', async ({kind, consistency}) => {
		const fleet = new FakeFleet(2);
		await fleet.waitUntilReady();
		for (const preparation of [Consistency.Primary, consistency]) {
			const sessions = Array.from({length: concurrentStatements}, () => fleet.openSession(0, preparation));
			const results = sessions.map(async session => session.execute(fleet.createStatement(StatementKind.Read)));
			await fleet.timer.advance(100);
			expect((await Promise.all(results)).filter(({error}) => error)).toEqual([]);
		}

		const silencedAt = fleet.timer.now();
		for (const instance of fleet.group.instances) {
			instance.silentBefore = silencedAt;
		}

		const session = fleet.openSession(0, consistency);
		const failedAt: number[] = [];
		while (fleet.timer.now() < silencedAt + 8000) {
			const startedAt = fleet.timer.now();
			const {error} = await fleet.run(session, kind);
			if (error) {
				failedAt.push(startedAt - silencedAt);
			}

			await fleet.timer.advance(20);
		}

		expect(failedAt.filter(at => at > statementTimeoutMilliseconds)).toEqual([]);
		expect(fleet.promotions).toEqual([]);
	});
});
