/* eslint-disable @stylistic/max-len, no-unmodified-loop-condition, no-void -- a script of the review, which runs outside of CI */
// Some time after the primaries were replaced, the open connections to the store go silent. Checks whether a host still refuses a new database later than the rule allows.
import {Client} from '../lib/client.mjs';
import {Deployment, sleep} from '../lib/fleet.mjs';
import {Proxy} from '../lib/proxy.mjs';
import {runCase} from '../lib/run-case.mjs';

/** `config_apply_ms` and `stable_window_ms`. */
const applyMilliseconds = 3000;
const stableWindowMilliseconds = 4000;
/** Factor by which the store is slow, and for how long, in milliseconds. */
const slowdown = 60;
const slowMilliseconds = 4500;
/** Time from the crash to the silence, in milliseconds. Everything has settled long before. */
const settlingMilliseconds = 20_000;
const databases = {'booking-1': 1, 'booking-2': 2};

await runCase(import.meta.dirname, async ({isTroubled, record, onCleanUp}) => {
	const proxies = [];
	const deployment = await Deployment.start({
		hosts: 7, groups: 3,
		// The reads that only keep the groups busy are left out of the record.
		record: entry => entry.event !== 'run' && record(entry),
		async connectStore(address) {
			const proxy = new Proxy();
			proxies.push(proxy);
			return proxy.listen(address);
		},
	});
	onCleanUp(() => deployment.stop());
	onCleanUp(() => {
		for (const proxy of proxies) {
			proxy.close();
		}
	});
	const {store, instances, hosts} = deployment;
	store.put('op/config', deployment.createConfiguration(8, databases));
	await deployment.waitUntilReady();
	await sleep(4000);
	let isRunning = true;
	for (const host of hosts) {
		for (const database of ['booking', ...Object.keys(databases)]) {
			void (async () => {
				for (let number = 0; isRunning; number++) {
					const client = new Client(host.front);
					if (await client.startUp(database)) {
						await client.query(`${host.name}${database}n${number}`, 'READ a');
					}

					client.close();
					await sleep(50);
				}
			})();
		}
	}

	await sleep(1000);
	if (isTroubled) {
		record('the primaries of all groups crash while the store is slow');
		store.answerMilliseconds = 4 * slowdown;
		setTimeout(() => {
			store.answerMilliseconds = 4;
		}, slowMilliseconds);
		await sleep(500);
		for (const instance of instances.filter(({role}) => role === 'primary')) {
			deployment.loseInstance(instance);
		}
	}

	// Everything has settled long before the connections go silent.
	await sleep(settlingMilliseconds);
	record({event: 'connections to the store', ...Object.fromEntries(hosts.map(({name}, index) => [name, proxies[index].connectionCount]))});
	if (isTroubled) {
		record('all open connections to the store go silent; new ones work');
		for (const proxy of proxies) {
			proxy.silenceOpenConnections();
		}
	}

	const silencedAt = Date.now();
	await sleep(200);
	store.put('op/config', deployment.createConfiguration(12, {...databases, 'booking-new': 0}));
	const confirmedAt = Date.now();
	record({event: 'configuration confirmed', version: 12, afterMilliseconds: confirmedAt - silencedAt});
	const late = [];
	await Promise.all(hosts.map(async host => {
		for (;;) {
			const sentAt = Date.now();
			const client = new Client(host.front);
			const answer = await client.startUp('booking-new');
			client.close();
			const isOwed = sentAt > confirmedAt + applyMilliseconds && sentAt > silencedAt + stableWindowMilliseconds;
			const entry = {host: host.name, sentAfterConfirmationMilliseconds: sentAt - confirmedAt, sentAfterSilenceMilliseconds: sentAt - silencedAt, answer: answer ?? client.text};
			if (answer?.startsWith('READY')) {
				record({event: 'served', ...entry});
				return;
			}

			record({event: 'refused', ...entry, isOwed});
			if (isOwed) {
				late.push(entry);
			}

			await sleep(20);
		}
	}));
	isRunning = false;
	const summary = {late: late.length, hosts: [...new Set(late.map(({host}) => host))], latestAfterConfirmationMilliseconds: Math.max(0, ...late.map(entry => entry.sentAfterConfirmationMilliseconds))};
	record({event: 'summary', ...summary});
	console.log(JSON.stringify(summary));
	return late.length > 0;
});
