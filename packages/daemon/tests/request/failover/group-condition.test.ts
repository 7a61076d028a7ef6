import {describe, expect, it} from 'vitest';
import {InstanceRole, type InstanceStatus, type PrimaryView} from '../../../src/index.js';
import {assessGroup, GroupCondition} from '../../../src/request/failover/group-condition.js';
import {createGroupDefinition} from './simulated-host.js';

const now = 100_000;

/** Observations of one member: its status and the time for which requests to it have failed. */
type Member = {
	readonly primary?: boolean;
	readonly term: number;
	readonly silence?: number;
	/** Number of the member that it follows, from 1; 0 for none. */
	readonly following?: number;
	readonly failing?: number;
	readonly refused?: number;
	readonly leaving?: boolean;
};

type Case = {
	readonly scenario: string;
	readonly primary?: PrimaryView;
	readonly members: ReadonlyArray<Member | undefined>;
	readonly expected: GroupCondition;
};

const primary = {instance: 'db-1', term: 1};
const working: Member = {primary: true, term: 1};
const failed: Member = {primary: true, term: 1, failing: 600};
const receiving: Member = {term: 1, silence: 20, following: 1};
const silent: Member = {term: 1, silence: 400, following: 1};
const raised: Member = {term: 2, silence: 400, following: 1};

const cases: readonly Case[] = [
	{scenario: 'a working group', primary, members: [working, receiving, receiving], expected: GroupCondition.Healthy},
	{scenario: 'a failed primary from which no replica receives', primary, members: [failed, silent, silent], expected: GroupCondition.PrimaryFailed},
	{scenario: 'a primary from which one replica still receives', primary, members: [failed, silent, receiving], expected: GroupCondition.Healthy},
	{scenario: 'a primary whose polls fail for less than 500 ms', primary, members: [{...failed, failing: 450}, silent, silent], expected: GroupCondition.Healthy},
	{
		scenario: 'a refused primary with which the replicas lost contact shortly before',
		primary,
		members: [{...failed, failing: 60, refused: 2}, {...silent, silence: 120}, {...silent, silence: 120}],
		expected: GroupCondition.PrimaryFailed,
	},
	{
		scenario: 'a single refused attempt, for instance during a restart',
		primary,
		members: [{...failed, failing: 60, refused: 1}, {...silent, silence: 120}, {...silent, silence: 120}],
		expected: GroupCondition.Healthy,
	},
	{
		scenario: 'a refused primary from which a replica has just received',
		primary,
		members: [{...failed, failing: 60, refused: 2}, {...silent, silence: 120}, {...silent, silence: 40}],
		expected: GroupCondition.Healthy,
	},
	{
		scenario: 'a failed primary and one failed replica (no majority can be raised)',
		primary,
		members: [failed, silent, {...silent, failing: 600}],
		expected: GroupCondition.Healthy,
	},
	{
		scenario: 'an older primary that came back while the current one is dead (found by the fencing model, seed 1694511700)',
		primary: {instance: 'db-2', term: 2},
		members: [working, {primary: true, term: 2, failing: 600}, {term: 3, silence: 900, following: 1}],
		expected: GroupCondition.PrimaryFailed,
	},
	{
		scenario: 'a replica that still receives entries from a raised, read-only instance (found by the fencing model, seed 385592967)',
		members: [{term: 2, silence: 900, following: 0}, undefined, receiving],
		expected: GroupCondition.NoPrimary,
	},
	{scenario: 'a raised majority whose promoter crashed', primary, members: [failed, raised, raised], expected: GroupCondition.NoPrimary},
	{
		scenario: 'a raised primary whose promoter crashed',
		primary,
		members: [{term: 2, silence: 0, following: 0}, receiving, receiving],
		expected: GroupCondition.NoPrimary,
	},
	{scenario: 'a raised minority of a working primary', primary, members: [working, receiving, raised], expected: GroupCondition.MinorityAhead},
	{
		scenario: 'a newer primary that only the replicas can reach',
		primary,
		members: [{term: 2, silence: 10, following: 3}, {term: 2, silence: 10, following: 3}, undefined],
		expected: GroupCondition.Healthy,
	},
	{
		scenario: 'an unknown primary from which the reachable replicas receive (a host that starts during a partition)',
		members: [undefined, receiving, receiving],
		expected: GroupCondition.Healthy,
	},
	{scenario: 'an unknown primary from which no replica receives', members: [undefined, silent, silent], expected: GroupCondition.NoPrimary},
	{scenario: 'an unknown primary and one reachable replica', members: [undefined, silent, undefined], expected: GroupCondition.Healthy},
	{scenario: 'a leaving primary', primary, members: [{...working, leaving: true}, receiving, receiving], expected: GroupCondition.PrimaryLeaving},
	{
		scenario: 'a leaving primary without another candidate',
		primary,
		members: [{...working, leaving: true}, {...receiving, leaving: true}, {...receiving, leaving: true}],
		expected: GroupCondition.Healthy,
	},
	{
		scenario: 'a leaving primary without a reachable majority',
		primary,
		members: [{...working, leaving: true}, undefined, undefined],
		expected: GroupCondition.Healthy,
	},
];

function createStatus(instance: string, member: Member, addresses: readonly string[]): InstanceStatus {
	return {
		instance,
		role: member.primary ? InstanceRole.Primary : InstanceRole.Replica,
		term: member.term,
		promoter: '',
		position: {term: 1, index: 1},
		termStartIndex: 0,
		primarySilenceMilliseconds: member.silence ?? 0,
		primaryAddress: member.following ? addresses[member.following - 1] ?? '' : '',
		slots: 3,
		connectionLimit: 20,
		observedAt: now,
	};
}

describe('assessGroup', () => {
	it.each(cases)('returns $expected for $scenario', ({primary: known, members, expected}) => {
		const definition = createGroupDefinition(members.length);
		const group = {
			...definition,
			instances: definition.instances.map((instance, index) => ({...instance, leaving: members[index]?.leaving ?? false})),
		};
		const addresses = group.instances.map(instance => instance.address);
		const getMember = (name: string) => members[group.instances.findIndex(instance => instance.name === name)];
		const greatestTerm = Math.max(known?.term ?? 0, ...members.map(member => member?.term ?? 0));
		const condition = assessGroup({
			group,
			primary: known,
			greatestTerm,
			now,
			getStatus(name) {
				const member = getMember(name);
				return member && createStatus(name, member, addresses);
			},
			getReachability(name) {
				const member = getMember(name);
				return {
					refusedAttempts: member?.refused ?? 0,
					getUnansweredMilliseconds: () => member ? member.failing ?? 0 : 10_000,
				};
			},
		});
		expect(condition).toBe(expected);
	});
});
