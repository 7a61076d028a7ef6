import {afterEach, describe, expect, it} from 'vitest';
import {
	ConsulMembershipList, defaultServiceNames, MemberKind, MemberState, SystemTimerService,
} from '@tarragonstack/core';
import {MembershipServer} from '../../src/index.js';

const timerService = new SystemTimerService();
const resources: AsyncDisposable[] = [];

afterEach(async () => {
	for (const resource of resources.splice(0).toReversed()) {
		await resource[Symbol.asyncDispose]();
	}
});

async function startServer(lagMilliseconds: number) {
	const server = new MembershipServer({address: '127.0.0.1', port: 0, lagMilliseconds});
	resources.push(server);
	const url = `http://${await server.listen()}`;
	const list = new ConsulMembershipList({url});
	resources.push(list);
	const put = async (path: string, body?: unknown) => {
		const response = await fetch(url + path, {method: 'PUT', ...(body !== undefined && {body: JSON.stringify(body)})});
		expect(response.status).toBe(200);
	};

	const register = async (state: string) => put('/v1/agent/service/register', {
		ID: 'host-1', Name: defaultServiceNames[MemberKind.Host], Address: '127.0.0.9', Port: 7000, Meta: {availability_zone: 'oviedo', state},
	});
	const getStates = async () => {
		const members = await list.getMembers({kind: MemberKind.Host}, 1000);
		return members._unsafeUnwrap().map(({name, state}) => `${name} ${state}`);
	};

	return {url, list, put, register, getStates};
}

describe('MembershipServer', () => {
	it('returns a member with all fields to the Consul adapter', async () => {
		const {list, register} = await startServer(0);
		await register('live');
		const members = await list.getMembers({kind: MemberKind.Host}, 1000);
		expect(members._unsafeUnwrap()).toEqual([{
			name: 'host-1', kind: MemberKind.Host, availabilityZone: 'oviedo', address: '127.0.0.9:7000', state: MemberState.Live,
		}]);
	});

	it.each([
		{guards: 'a state that is not updated', state: 'leaving', states: ['host-1 leaving']},
		{guards: 'a member that is still listed after its deregistration', state: undefined, states: []},
	])('guards against $guards', async ({state, states}) => {
		const {put, register, getStates} = await startServer(0);
		await register('live');
		await (state === undefined ? put('/v1/agent/service/deregister/host-1') : register(state));
		expect(await getStates()).toEqual(states);
	});

	it('applies changes only after the lag, so that clients see an outdated list', async () => {
		const {register, getStates} = await startServer(200);
		const before = timerService.now();
		await register('live');
		expect(await getStates()).toEqual([]);
		for (let states = await getStates(); states.length === 0; states = await getStates()) {
			expect(timerService.now() - before).toBeLessThan(3000);
			await timerService.sleep(5);
		}

		expect(timerService.now() - before).toBeGreaterThanOrEqual(199);
	});

	it.each([
		{state: 'leaving', expected: ['host-1'], guards: 'a leaving member that the filter excludes'},
		{state: 'live', expected: [], guards: 'a response that grows with the fleet although no member is leaving'},
	])('filters by state, against $guards', async ({state, expected}) => {
		const {list, register} = await startServer(0);
		await register(state);
		const members = await list.getMembers({kind: MemberKind.Host, state: MemberState.Leaving}, 1000);
		expect(members._unsafeUnwrap().map(({name}) => name)).toEqual(expected);
	});

	it('returns errors during an outage', async () => {
		const {url, list} = await startServer(0);
		await fetch(`${url}/control`, {method: 'POST', body: JSON.stringify({outage: true})});
		const members = await list.getMembers({kind: MemberKind.Host}, 1000);
		expect(members.isErr()).toBe(true);
	});
});
