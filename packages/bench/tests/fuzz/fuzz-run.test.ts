import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {DeploymentName, deployments, Fleet, loadContracts} from '../../src/fleet/index.js';
import {
	Effect, FuzzRun, generateCommands, getEffectOfError, History, Invariant, NotConnectedError, WriteKind, type InstanceDump,
} from '../../src/fuzz/index.js';

const steps = 60;

/** Maximum duration of a run, so that the test stays fast enough to run often. */
const maximumRunMilliseconds = 45_000;

describe('FuzzRun', () => {
	it.each([
		{seed: 1, deployment: DeploymentName.Ronquido},
		{seed: 2, deployment: DeploymentName.Edredon},
	])('keeps all invariants under random requests, faults and operator changes (seed $seed, $deployment)', async ({seed, deployment}) => {
		await using fleet = await Fleet.start({
			deployment: deployments[deployment],
			contracts: await loadContracts(fileURLToPath(new URL(`../../../../examples/${deployment}`, import.meta.url))),
		});
		await using run = new FuzzRun(fleet, seed, steps);
		const result = await run.run();
		console.log(JSON.stringify(result));
		expect(result.violations).toEqual([]);
		expect(Object.keys(result.coverage.faults).length).toBeGreaterThan(2);
		expect(result.coverage.readsByReplicas).toBeGreaterThan(0);
		expect(result.coverage.duplicatesSuppressed).toBeGreaterThan(0);
		expect(result.milliseconds).toBeLessThan(maximumRunMilliseconds);
	}, 90_000);

	it('fails without commands, which guards against a run that verifies nothing', async () => {
		await using fleet = await Fleet.start({
			deployment: deployments[DeploymentName.Ronquido],
			contracts: await loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url))),
		});
		await using run = new FuzzRun(fleet, 1, 0);
		const {violations} = await run.run();
		expect(violations.map(({message}) => message)).toContain('the run is empty: it had no faults');
	});
});

describe('generateCommands', () => {
	it('generates the same commands for the same seed, and different ones for another seed', () => {
		expect(generateCommands(7, steps)).toEqual(generateCommands(7, steps));
		expect(generateCommands(7, steps)).not.toEqual(generateCommands(8, steps));
	});
});

describe('getEffectOfError', () => {
	it.each([
		{error: {code: 'TS001'}, effect: Effect.None, guards: 'a refusal that is mistaken for an effect'},
		{error: {code: 'TS008'}, effect: Effect.Unknown, guards: 'a used key that is mistaken for a refusal of the first request'},
		{error: {code: '08007'}, effect: Effect.Unknown, guards: 'an unknown outcome that is mistaken for a refusal'},
		{error: {code: '23505'}, effect: Effect.None, guards: 'a database error that is mistaken for an effect'},
		{error: {code: 'ECONNRESET'}, effect: Effect.Unknown, guards: 'a reset connection that is mistaken for a refusal'},
		{error: new Error('Connection terminated unexpectedly'), effect: Effect.Unknown, guards: 'a closed connection that is mistaken for a refusal'},
		{error: new NotConnectedError(new Error('refused')), effect: Effect.None, guards: 'a failed connection attempt that is mistaken for an effect'},
	])('returns $effect, which guards against $guards', ({error, effect}) => {
		expect(getEffectOfError(error)).toBe(effect);
	});
});

type OracleCase = {
	readonly guards: string;
	readonly kind: WriteKind;
	readonly effect: Effect;
	readonly invariant: Invariant;
	/** Creates the final state of the group from the token of the write. */
	readonly getDump: (token: string) => InstanceDump;
};

const empty: InstanceDump = {tables: {}, log: []};
const pairLog = (token: string, ...keys: string[]) => [{kind: 'entry', changes: keys.map(key => ({table: 'pairs', key: `${token}/${key}`}))}];

const oracleCases: readonly OracleCase[] = [
	{guards: 'a lost write', kind: WriteKind.Insert, effect: Effect.Acknowledged, invariant: Invariant.NoAcknowledgementByReplacedPrimary, getDump: () => empty},
	{
		guards: 'a refused write that ran', kind: WriteKind.Insert, effect: Effect.None, invariant: Invariant.RefusedHasNoEffect,
		getDump: token => ({tables: {items: [{id: token}]}, log: []}),
	},
	{
		guards: 'a write that ran twice', kind: WriteKind.Append, effect: Effect.Unknown, invariant: Invariant.AtMostOnce,
		getDump: token => ({tables: {counters: [{id: 'counter-0', value: `${token};${token};`}]}, log: []}),
	},
	{
		guards: 'half of a transaction', kind: WriteKind.Pair, effect: Effect.Unknown, invariant: Invariant.TransactionIsolation,
		getDump: token => ({tables: {pairs: [{id: `${token}/a`}]}, log: []}),
	},
	{
		guards: 'a transaction that was committed in two parts', kind: WriteKind.Pair, effect: Effect.Acknowledged, invariant: Invariant.TransactionIsolation,
		getDump: token => ({tables: {pairs: [{id: `${token}/a`}, {id: `${token}/b`}]}, log: [...pairLog(token, 'a'), ...pairLog(token, 'b')]}),
	},
];

describe('History', () => {
	it.each(oracleCases)('reports $guards as a violation of $invariant', ({kind, effect, invariant, getDump}) => {
		const history = new History('t');
		const record = history.begin(kind, 'owner', 'group');
		record.effect = effect;
		const violations = history.check('group', getDump(record.token));
		expect(violations.map(violation => violation.invariant)).toContain(invariant);
	});
});
