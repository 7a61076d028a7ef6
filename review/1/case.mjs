/* eslint-disable no-unmodified-loop-condition, no-void -- a script of the review, which runs outside of CI */
// A primary crashes; the instance promoted in its place is cut off from the hosts for a while, and the host that ordered its promotion gets SIGTERM.
// Checks whether writes were committed at the old primary after a promotion had taken effect, and acknowledged.
import {Client} from '../lib/client.mjs';
import {Deployment, sleep} from '../lib/fleet.mjs';
import {Proxy} from '../lib/proxy.mjs';
import {runCase} from '../lib/run-case.mjs';

const calmMilliseconds = 3000;
/** Time from the first promote call until the promoted instance is cut off, and until the host that made the call gets SIGTERM, in milliseconds. */
const cutMilliseconds = 500;
const terminateMilliseconds = 600;
/** Time from the second promote call until the clients end their transactions, and until the cut ends, in milliseconds. */
const reactionMilliseconds = 50;
const playedMilliseconds = 12_000;
/** `thaw_ms`: a sender whose link was disrupted that shortly before is excused. */
const excusedMilliseconds = 300;

await runCase(import.meta.dirname, async ({isTroubled, record, onCleanUp}) => {
	const proxies = new Map();
	const deployment = await Deployment.start({
		hosts: 7, record, work: () => 5,
		async connectInstance(address, id) {
			const proxy = new Proxy();
			proxies.set(id, proxy);
			return proxy.listen(address);
		},
	});
	onCleanUp(() => deployment.stop());
	onCleanUp(() => {
		for (const proxy of proxies.values()) {
			proxy.close();
		}
	});
	const {hosts, instances, groups: [group]} = deployment;
	await deployment.waitUntilReady();

	/** Acknowledged writes by id, with the time of the answer. */
	const acknowledged = new Map();
	let isRunning = true;
	const writeRepeatedly = async host => {
		for (let number = 0; isRunning;) {
			const client = new Client(host.front);
			let answer = await client.startUp('booking');
			while (isRunning && answer !== undefined) {
				const id = `${host.name}w${number++}`;
				const sentAt = Date.now();
				answer = await client.query(id, `WRITE k${number} v${number}`);
				if (answer?.startsWith('COMPLETE')) {
					acknowledged.set(id, {sentAt, answeredAt: Date.now()});
				}

				record({event: 'answered', id, answer: answer ?? 'none: the connection ended'});
				await sleep(20);
			}

			client.close();
			await sleep(100);
		}
	};

	// On each host one client has begun a transaction and pauses. It ends it when asked.
	let endTransactions;
	const transactionsEnd = new Promise(resolve => {
		endTransactions = resolve;
	});
	const restInTransaction = async host => {
		const client = new Client(host.front);
		await client.startUp('lookup');
		await client.query(`${host.name}t0`, 'BEGIN READ');
		await transactionsEnd;
		await client.query(`${host.name}t1`, 'ROLLBACK');
		client.close();
	};

	for (const host of hosts) {
		host.restarts = false;
		void writeRepeatedly(host);
	}

	await sleep(calmMilliseconds);
	for (const host of hosts) {
		void restInTransaction(host);
	}

	let healedAt = 0;
	if (isTroubled) {
		let calls = 0;
		let promoted;
		deployment.onPromote = async id => {
			calls++;
			if (calls === 1) {
				promoted = id;
				const {host: holder} = deployment.store.get('fleet/1/promoter');
				const promoter = hosts.find(({name}) => name === holder);
				promoter.onExit = code => record({event: 'process ended', host: promoter.name, code});
				await sleep(cutMilliseconds);
				record({event: 'instance cut off from the hosts', instance: id});
				proxies.get(id).cut();
				await sleep(terminateMilliseconds - cutMilliseconds);
				record({event: 'SIGTERM', host: promoter.name});
				promoter.signal('SIGTERM');
			} else if (calls === 2) {
				await sleep(reactionMilliseconds);
				record({event: 'the cut ends', instance: promoted});
				proxies.get(promoted).heal();
				healedAt = Date.now();
				endTransactions();
			}
		};

		record({event: 'the primary crashes', instance: instances[0].id});
		deployment.loseInstance(instances[0]);
		proxies.get(instances[0].id).close();
	}

	await sleep(playedMilliseconds);
	isRunning = false;
	endTransactions();
	await sleep(1000);
	const broken = [];
	for (const {id: leader, at, term} of group.leads) {
		for (const instance of instances.filter(({id}) => id !== leader)) {
			for (const {commit, committedAt, term: commitTerm} of instance.commits) {
				const answer = acknowledged.get(commit);
				if (commitTerm < term && committedAt > at && answer && answer.sentAt > healedAt + excusedMilliseconds) {
					broken.push({id: commit, instance: instance.id, committedAfterMilliseconds: committedAt - at, answeredAfterMilliseconds: answer.answeredAt - at, leader, term});
				}
			}
		}
	}

	for (const entry of broken) {
		record({event: 'committed at the old primary and acknowledged', ...entry});
	}

	const kept = new Set(group.leader.log.map(({commit}) => commit));
	const endedAt = Date.now();
	const summary = {
		promotions: group.leads.map(({id, term}) => `${id} term ${term}`), acknowledged: acknowledged.size, atOldPrimary: broken.length,
		notKept: [...acknowledged.keys()].filter(id => !kept.has(id)).length,
		inLastThreeSeconds: [...acknowledged.values()].filter(({answeredAt}) => answeredAt > endedAt - 4000).length,
	};
	record({event: 'summary', ...summary});
	console.log(JSON.stringify(summary));
	return broken.length > 0;
});
