import {once} from 'node:events';
import {connect} from 'node:tls';
import {readFile} from 'node:fs/promises';
import pg from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {LoopbackRange, type Fleet} from '../../src/fleet/index.js';
import {CertificateAuthority, type KeyFiles} from './certificate-authority.js';
import {MetricsReceiver} from './metrics-receiver.js';
import {TestDaemon, startSingleGroupPlatform, TemporaryDirectory, waitUntil} from './test-fleet.js';

/** Interval at which hosts reload their key files, plus a margin for a busy machine. */
const reloadTimeoutMilliseconds = 15_000;

const zones = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'];
const group = 'subs-core-1';

describe('mutual TLS between hosts', () => {
	let platform: Fleet;
	let directory: TemporaryDirectory;
	let range: LoopbackRange;
	let metrics: MetricsReceiver;
	let authority: CertificateAuthority;
	const daemons: TestDaemon[] = [];
	const serialNumbers = new Map<string, string>();

	beforeAll(async () => {
		directory = await TemporaryDirectory.create();
		platform = await startSingleGroupPlatform();
		range = await LoopbackRange.acquire();
		metrics = await MetricsReceiver.start(range.next());
		authority = await CertificateAuthority.create('fleet');
		daemons.push(...await Promise.all(zones.map(async (availabilityZone, index) => {
			const name = `host-${index + 1}`;
			const {files, serialNumber} = await authority.issue(directory.path, name);
			serialNumbers.set(name, serialNumber);
			return startDaemon(name, availabilityZone, files);
		})));
		await waitForFleet();
	});

	afterAll(async () => {
		await Promise.all(daemons.map(async daemon => daemon[Symbol.asyncDispose]()));
		await metrics?.[Symbol.asyncDispose]();
		await platform?.[Symbol.asyncDispose]();
		await range?.[Symbol.asyncDispose]();
		await directory?.[Symbol.asyncDispose]();
	});

	async function startDaemon(name: string, availabilityZone: string, peerTls: KeyFiles): Promise<TestDaemon> {
		return TestDaemon.start(platform, directory, {name, availabilityZone, address: range.next(), peerTls, metrics: metrics.target});
	}

	/** Waits until each host considers all others live, which requires links in both directions. */
	async function waitForFleet(): Promise<void> {
		await waitUntil(20_000, async () => {
			const statuses = await Promise.all(daemons.map(async daemon => daemon.getStatus()));
			return statuses.every(({configuration, hosts}) => {
				const live = new Set(hosts.filter(({state}) => state === 'live').map(({name}) => name));
				return configuration !== undefined && daemons.every(({settings}) => live.has(settings.name));
			});
		});
	}

	/** Writes through each host. The primary has one owner, so two of the three writes use a link between hosts. */
	async function writeThroughAll(round: string): Promise<void> {
		for (const daemon of daemons) {
			const client = new pg.Client(daemon.getConnectionString(group));
			await client.connect();
			try {
				await client.query(`INSERT INTO orders (id) VALUES ('${daemon.settings.name}-${round}')`);
			} finally {
				await client.end();
			}
		}
	}

	/** Returns the serial number of the certificate that a host presents at its peer port. */
	async function getServedSerialNumber(daemon: TestDaemon): Promise<string> {
		const files = daemon.settings.peerTls!;
		const [cert, key, ca] = await Promise.all([files.certificateFile, files.keyFile, files.authorityFile].map(async file => readFile(file, 'utf8')));
		const socket = connect({host: daemon.settings.address, port: 7000, cert, key, ca, checkServerIdentity: () => undefined});
		socket.on('error', () => {});
		await once(socket, 'secureConnect');
		const {serialNumber} = socket.getPeerCertificate();
		socket.destroy();
		return serialNumber;
	}

	it('serves writes with a fleet of 3 hosts, which guards against links that fail with TLS', async () => {
		const owners = await Promise.all(daemons.map(async daemon => (await daemon.getStatus()).ownedInstances));
		expect(owners.map(instances => instances.length)).toEqual([1, 1, 1]);
		await writeThroughAll('first');
	});

	it('refuses and counts a host with a certificate of another authority, which guards against an unauthorized host in the fleet', async () => {
		const foreignAuthority = await CertificateAuthority.create('stranger');
		// The intruder trusts the fleet's authority, so only its own certificate can cause the refusal.
		const {files} = await foreignAuthority.issue(directory.path, 'host-4', authority.pem);
		const refused = metrics.getCount('peer.frame_refused', 'cause:tls');
		await using intruder = await startDaemon('host-4', zones[0]!, files);
		await waitUntil(10_000, async () => metrics.getCount('peer.frame_refused', 'cause:tls') > refused);
		await waitUntil(10_000, async () => (await intruder.getStatus()).hosts.filter(({name}) => name !== 'host-4').every(({state}) => state === 'unreachable'));
		for (const daemon of daemons) {
			const {hosts} = await daemon.getStatus();
			expect(hosts.find(({name}) => name === 'host-4')?.state ?? 'unreachable').toBe('unreachable');
		}

		await writeThroughAll('with-intruder');
	});

	it('uses renewed certificates without a restart, which guards against an outage when certificates expire', async () => {
		const processes = daemons.map(daemon => daemon.process.ready.pid);
		for (const daemon of daemons) {
			const {name} = daemon.settings;
			expect(await getServedSerialNumber(daemon)).toBe(serialNumbers.get(name));
			serialNumbers.set(name, (await authority.issue(directory.path, name)).serialNumber);
		}

		for (const daemon of daemons) {
			await waitUntil(reloadTimeoutMilliseconds, async () => await getServedSerialNumber(daemon) === serialNumbers.get(daemon.settings.name));
		}

		await writeThroughAll('renewed');
		await waitForFleet();
		expect(daemons.map(daemon => daemon.process.ready.pid)).toEqual(processes);
		expect(daemons.every(daemon => daemon.process.isRunning)).toBe(true);
		// A restarted host needs new links, which the other hosts open with the renewed keys.
		await daemons[2]!.process.kill();
		await waitUntil(20_000, async () => (await daemons[0]!.getStatus()).hosts.some(({name, state}) => name === 'host-3' && state === 'unreachable'));
		await daemons[2]!.process.start();
		await waitForFleet();
		await waitUntil(20_000, async () => {
			await writeThroughAll('new-links');
			return true;
		});
	});
});
