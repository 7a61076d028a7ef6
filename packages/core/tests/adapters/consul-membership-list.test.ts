import {describe, expect, it} from 'vitest';
import {ConsulMembershipList, MemberKind, MemberState} from '../../src/index.js';
import {isError, unwrapValue} from '../results.js';
import {HttpFake} from './http-fake.js';

const entry = (overrides: {id?: string; address?: string; meta?: Record<string, string>; checks?: unknown[]; port?: unknown}) => ({
	Node: {Node: 'n1', Address: '127.0.0.9', Meta: {availability_zone: 'oviedo'}},
	Service: {
		ID: overrides.id ?? 'host-1', Service: 'tarragon-host', Address: overrides.address ?? '', Port: overrides.port ?? 7000, Meta: overrides.meta ?? {},
	},
	Checks: overrides.checks ?? [{CheckID: 'serfHealth', Status: 'passing'}],
});

const expected = {
	name: 'host-1', kind: MemberKind.Host, availabilityZone: 'oviedo', address: '127.0.0.9:7000', state: MemberState.Live,
};

describe('ConsulMembershipList', () => {
	it.each([
		{entries: [entry({})], members: [expected], scenario: 'a service without an address of its own'},
		{
			entries: [entry({address: '127.0.0.3', meta: {availability_zone: 'gijon'}})],
			members: [{...expected, address: '127.0.0.3:7000', availabilityZone: 'gijon'}],
			scenario: 'a service with its own address and zone',
		},
		{entries: [entry({meta: {state: 'leaving'}})], members: [{...expected, state: MemberState.Leaving}], scenario: 'a host that is leaving'},
		{entries: [entry({checks: [{CheckID: '_service_maintenance:host-1', Status: 'critical'}]})], members: [{...expected, state: MemberState.Leaving}], scenario: 'a host in maintenance'},
		{entries: [entry({checks: [{CheckID: 'tcp', Status: 'critical'}]})], members: [], scenario: 'a host with a failed check'},
		{entries: [entry({port: 'seven'}), entry({})], members: [expected], scenario: 'the valid entries next to an invalid one (guards against an invalid entry that hides the others)'},
	])('reads $scenario', async ({entries, members}) => {
		await using fake = await HttpFake.start((path, _, response) => {
			response.end(JSON.stringify(path === '/v1/health/service/tarragon-host' ? entries : []));
		});
		await using list = new ConsulMembershipList({url: fake.url});
		expect(await unwrapValue(list.getMembers({kind: MemberKind.Host}, 1000))).toEqual(members);
	});

	it.each([
		{answer: '{"not": "a list"}', status: 200, scenario: 'a reply that does not match the schema'},
		{answer: 'No cluster leader', status: 500, scenario: 'an agent without a leader'},
		{answer: undefined, status: 200, scenario: 'an agent that does not answer'},
	])('returns an error for $scenario instead of an empty list', async ({answer, status}) => {
		await using fake = await HttpFake.start((_path, _body, response) => {
			if (answer !== undefined) {
				response.writeHead(status).end(answer);
			}
		});
		await using list = new ConsulMembershipList({url: fake.url});
		expect(await isError(list.getMembers({kind: MemberKind.Host}, 200))).toBe(true);
	});
});
