import {describe, expect, it} from 'vitest';
import {Verdict} from '@tarragonstack/core';
import {PeerMessageKind} from '../../../src/index.js';
import {PeerFleet} from './peer-fleet.js';

const timeoutMilliseconds = 2000;

describe('TcpPeerNetwork', () => {
	it('answers calls in both directions over links that both sides open at once', async () => {
		await using fleet = new PeerFleet();
		const left = await fleet.start('left');
		const right = await fleet.start('right');
		for (const {network} of [left, right]) {
			network.handle(PeerMessageKind.ReadIndex, async (body, {peer}) => ({body, peer}));
		}

		const replies = await Promise.all([
			left.network.call('right', PeerMessageKind.ReadIndex, 1, {timeoutMilliseconds}),
			right.network.call('left', PeerMessageKind.ReadIndex, 2, {timeoutMilliseconds}),
		]);
		expect(replies.map(reply => reply._unsafeUnwrap())).toEqual([{body: 1, peer: 'left'}, {body: 2, peer: 'right'}]);
	});

	it('reports a refused connection as not run and then fails at once', async () => {
		await using fleet = new PeerFleet();
		const {network} = await fleet.start('left');
		fleet.addresses.set('right', '127.0.0.1:1');
		const first = await network.call('right', PeerMessageKind.ReadIndex, 1, {timeoutMilliseconds});
		expect(first._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun);
		const startedAt = performance.now();
		const second = await network.call('right', PeerMessageKind.ReadIndex, 1, {timeoutMilliseconds});
		expect(second._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun);
		expect(performance.now() - startedAt).toBeLessThan(50);
	});
});
