/* eslint-disable camelcase, no-unmodified-loop-condition, no-void, require-unicode-regexp -- a script of the review, which runs outside of CI */
// Another writer puts one entry under `servers/` whose address cannot be read: its port is 70000. Checks whether processes end by themselves.
import {Client} from '../lib/client.mjs';
import {Deployment, sleep} from '../lib/fleet.mjs';
import {runCase} from '../lib/run-case.mjs';

const calmMilliseconds = 3000;
const watchedMilliseconds = 15_000;
const sessionsPerHost = 4;
/** Ends of a machine's processes, and machines with that many, from which the rule counts a fault. */
const endsPerMachine = 3;
const machines = 2;

await runCase(import.meta.dirname, async ({isTroubled, record, onCleanUp}) => {
	const deployment = await Deployment.start({hosts: 3});
	onCleanUp(() => deployment.stop());
	await deployment.waitUntilReady();
	let isRunning = true;
	const served = {before: 0, after: 0};
	const tried = {before: 0, after: 0};
	let phase = 'before';
	const runSession = async (host, index) => {
		for (let number = 0; isRunning;) {
			const client = new Client(host.front);
			let answer = await client.startUp('booking');
			while (isRunning && answer !== undefined) {
				const id = `${host.name}s${index}n${number++}`;
				tried[phase]++;
				answer = await client.query(id, number % 3 === 0 ? `WRITE k${index} v${number}` : `READ k${index}`);
				served[phase] += Number(answer?.includes('COMPLETE') ?? false);
				if (answer === undefined || number % 50 === 0) {
					record({event: 'answered', id, answer: answer ?? `none: the connection ended (${client.error ?? 'closed'})`});
				}

				await sleep(100);
			}

			client.close();
			tried[phase] += Number(answer === undefined);
			await sleep(100);
		}
	};

	for (const host of deployment.hosts) {
		host.onExit = (code, signal) => record({event: 'process ended', host: host.name, code, signal});
		for (let index = 0; index < sessionsPerHost; index++) {
			void runSession(host, index);
		}
	}

	await sleep(calmMilliseconds);
	phase = 'after';
	if (isTroubled) {
		const entry = {
			backend: 'lavado-0', address: '127.0.0.1:70000', zone: 'zone-0', config_version: 'v1', slots: 2, state: 'ready', cold_remaining_ms: 0, seq: 1,
			born: Date.now(), db_role: 'replica',
		};
		record({event: 'entry of another writer', key: 'servers/i-other', entry});
		deployment.store.put('servers/i-other', entry);
	}

	await sleep(watchedMilliseconds);
	isRunning = false;
	const ends = deployment.hosts.map(({exits}) => exits.filter(({signal}) => signal === null).length);
	const summary = {ends: Object.fromEntries(deployment.hosts.map(({name}, index) => [name, ends[index]])), tried, served};
	record({event: 'summary', ...summary});
	const error = deployment.hosts.map(({output}) => /^.*(?:RangeError|TypeError|ERR_)[^\n]*$/m.exec(output)?.[0]).find(Boolean);
	record(`error on standard error: ${error ?? 'none'}`);
	console.log(JSON.stringify(summary));
	return ends.filter(count => count >= endsPerMachine).length >= machines;
});
