/* eslint-disable camelcase, no-unmodified-loop-condition, no-void, require-unicode-regexp, unicorn/no-await-expression-member -- a script of the review, which runs outside of CI */
/**
 * A service with `sync_replicas` 1. One replica receives nothing for a while, the other one is lost for good, and the primary
 * crashes and comes back with its log. No instance that answers meanwhile holds the newest acknowledged commits.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Database} from '../lib-2/database.mjs';
import {Client, Host, network, pause, runCase} from '../lib-2/fleet.mjs';
import {Platform} from '../lib-2/platform.mjs';

const directory = path.dirname(fileURLToPath(import.meta.url));
const zones = ['oviedo', 'gijon', 'santander'];
const sessions = 12;

await runCase(directory, async ({journal, hasTrouble, own}) => {
	const platform = own(new Platform());
	const database = own(new Database(platform, {name: 'lavado-db-a', sync: 1}));
	platform.onPromote = ({id, holder, token}) => {
		const status = database.promote(id);
		journal.write(`platform: promote ${id} by ${holder} token ${token} -> ${status}`);
		return status;
	};

	const store = await platform.listen(`${network}.1`);
	const [primary, lostReplica, deaf] = [
		await database.add('i-p', zones[0], `${network}.11`, 'primary'),
		await database.add('i-r1', zones[1], `${network}.12`, 'replica'),
		await database.add('i-r2', zones[2], `${network}.13`, 'replica'),
	];
	platform.put('op/config', {
		config_version: 3,
		routes: [{name: 'counter-booking', database: 'db1', path_prefix: '/', type: 'primary', timeout_ms: 800, target_latency_ms: 100, priority: 0, backend: database.name}],
		services: [{name: database.name, max_conns: 30, sync_replicas: 1}],
		limits: {tx_idle_ms: 4000},
	});
	const hosts = zones.map((zone, index) => own(new Host({name: `front-${zone}-1`, zone, address: `${network}.${21 + index}`, store})));
	await Promise.all(hosts.map(async host => host.start()));
	await Promise.all(hosts.map(async host => host.waitUntilReady()));
	await pause(2000);

	let isRunning = true;
	let next = 0;
	const acknowledged = [];
	const answers = {};
	const runSession = async index => {
		while (isRunning) {
			const client = new Client(hosts[index % hosts.length].front);
			let isUsable = (await client.open('db1'))?.startsWith('READY') === true;
			while (isRunning && isUsable) {
				const id = `s${index}n${next++}`;
				const answer = await client.query(id, `WRITE k${index} v${id}`);
				const word = answer === undefined ? 'none' : (answer.startsWith('COMPLETE') ? 'COMPLETE' : answer.split(' ').slice(0, 2).join(' '));
				answers[word] = (answers[word] ?? 0) + 1;
				if (word === 'COMPLETE') {
					acknowledged.push({id, at: performance.now()});
				}

				isUsable = answer !== undefined && /READY I /.test(answer);
				await pause(40);
			}

			client.close();
			await pause(50);
		}
	};

	const clients = Array.from({length: sessions}, async (_, index) => runSession(index));
	await pause(2000);
	if (hasTrouble) {
		journal.write('disruption: i-r2 receives nothing for 6.5 s');
		deaf.isDeaf = true;
		setTimeout(() => {
			deaf.isDeaf = false;
			deaf.catchUp();
		}, 6500);
		await pause(1000);
		journal.write(`disruption: i-r1 is lost for good; positions: i-p ${primary.position}, i-r1 ${lostReplica.position}, i-r2 ${deaf.position}`);
		lostReplica.crash();
		await pause(2000);
		journal.write('disruption: the primary i-p crashes for 7 s');
		primary.crash();
		setTimeout(() => {
			journal.write(`i-p comes back with its log, at ${primary.position}; the primary is ${database.leader.id}`);
			void primary.comeBack();
		}, 7000);
		await pause(11_000);
	} else {
		await pause(3000);
		journal.write('platform: i-p reports draining (planned work)');
		primary.drain();
		await pause(6000);
	}

	isRunning = false;
	await Promise.all(clients);
	journal.write(`answers: ${JSON.stringify(answers)}`);
	for (const {id, at} of acknowledged) {
		journal.write(`acknowledged ${id} at ${at.toFixed(0)}`);
	}

	for (const host of hosts) {
		for (const line of host.output.split('\n').filter(text => /candidate-chosen|promotion-ordered|change-/.test(text))) {
			journal.write(`log of ${host.name}: ${line}`);
		}
	}

	if (acknowledged.length === 0) {
		throw new Error('no write was acknowledged');
	}

	for (const {at, id, term, position, log} of database.promoted) {
		const held = new Set(log);
		const lost = acknowledged.filter(write => write.at < at && !held.has(write.id));
		journal.write(`promoted ${id} in term ${term} at ${position}; acknowledged before and missing in its log: ${lost.length}`);
		if (lost.length > 0) {
			return `LOST: ${id} was promoted without ${lost.length} acknowledged commits, for example ${lost.at(-1).id}`;
		}
	}

	return undefined;
}, 'record-forgotten.txt');
