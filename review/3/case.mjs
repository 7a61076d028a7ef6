/* eslint-disable @stylistic/max-len, require-unicode-regexp, unicorn/no-nested-ternary -- a script of the review, which runs outside of CI */
// A host gets SIGTERM while clients have transactions open. Checks whether a statement that was passed on to an instance lost its answer.
import {Client} from '../lib/client.mjs';
import {Deployment, sleep} from '../lib/fleet.mjs';
import {runCase} from '../lib/run-case.mjs';

const graceSeconds = 6;
/**
 * Sessions: when each begins its transaction, relative to the SIGTERM, and the time from one statement to the next, in milliseconds (the limit
 * of a pause is `tx_idle_ms`, 3000). All transactions are open when the SIGTERM comes. Each host may use 9 connections to an instance, and the
 * group has a primary and two replicas. The commits of the bookings are sent between 5.35 and 5.48 s after the SIGTERM.
 */
const sessions = [
	...Array.from({length: 9}, (_, index) => ({database: 'booking', isReadOnly: false, beginsAt: -150 + (index * 16), interval: 500})),
	...Array.from({length: 18}, (_, index) => ({database: 'lookup', isReadOnly: true, beginsAt: -560 + (index * 30), interval: 540})),
];
/** Work of a statement, in milliseconds: the site has a maximum of 34 for bookings and 170 for lookups. */
const bookingWorkMilliseconds = 30;
const lookupWorkMilliseconds = 100;
/** Time from the start of the sessions to the SIGTERM, in milliseconds. */
const leadMilliseconds = 1000;
/** Statements between BEGIN and COMMIT. With these two, a transaction has 12. */
const innerStatements = 10;

await runCase(import.meta.dirname, async ({isTroubled, record, onCleanUp}) => {
	const deployment = await Deployment.start({hosts: 3, graceSeconds, work: (kind, text) => text.includes(' l') ? lookupWorkMilliseconds : bookingWorkMilliseconds, record});
	onCleanUp(() => deployment.stop());
	for (const instance of deployment.instances) {
		// The instance is no bottleneck, so that the host alone decides when an answer comes.
		instance.slots = sessions.length;
	}

	await deployment.waitUntilReady();
	const [host] = deployment.hosts;
	host.restarts = false;
	let terminatedAt;
	const lost = [];
	const counts = {};
	const startedAt = Date.now();
	const runSession = async ({database, isReadOnly, beginsAt, interval}, index) => {
		const client = new Client(host.front);
		await client.startUp(database);
		await sleep(startedAt + leadMilliseconds + beginsAt - Date.now());
		for (let number = 0; number < innerStatements + 2; number++) {
			const id = `s${index}n${number}`;
			const text = number === 0 ? (isReadOnly ? 'BEGIN READ' : 'BEGIN') : (number === innerStatements + 1 ? 'COMMIT' : (isReadOnly ? `READ l${index}` : (number % 2 === 0 ? `READ k${index}` : `WRITE k${index} v${number}`)));
			const sentAt = Date.now();
			record({event: 'sent', id, text});
			const answer = await client.query(id, text);
			record({event: 'answered', id, answer: answer ?? `none: the connection ended (${client.error ?? 'closed'})`});
			const outcome = answer === undefined ? 'no answer' : (answer.includes('ERROR') ? /ERROR \w+/.exec(answer)[0] : 'success');
			counts[outcome] = (counts[outcome] ?? 0) + 1;
			if (answer === undefined) {
				lost.push({id, text, sentAfterSigtermMilliseconds: terminatedAt && sentAt - terminatedAt, endedAfterMilliseconds: Date.now() - sentAt});
				break;
			}

			if (answer.includes('ERROR')) {
				break;
			}

			await sleep(startedAt + leadMilliseconds + beginsAt + ((number + 1) * interval) - Date.now());
		}

		client.close();
	};

	const all = sessions.map(async (session, index) => runSession(session, index));
	await sleep(startedAt + leadMilliseconds - Date.now());
	if (isTroubled) {
		terminatedAt = Date.now();
		record(`SIGTERM to ${host.name}`);
		host.signal('SIGTERM');
		host.onExit = (code, signal) => record(`${host.name} ended ${Date.now() - terminatedAt} ms after SIGTERM: code ${code}, signal ${signal}`);
	}

	await Promise.all(all);
	await sleep(200);
	const runs = deployment.instances.flatMap(instance => instance.runs);
	let broken = 0;
	for (const entry of lost) {
		const run = runs.find(({id}) => id === entry.id);
		// The rule excuses a request that was sent no later than 3 s after the SIGTERM, and one that was not passed on and whose connection ended soon.
		const counts = terminatedAt !== undefined && entry.sentAfterSigtermMilliseconds > 3000 && (run !== undefined || entry.endedAfterMilliseconds > 200);
		broken += Number(counts);
		record({event: 'lost', ...entry, atInstance: run?.outcome ?? 'never arrived', counts});
	}

	const summary = {...counts, lost: lost.length, counted: broken};
	record({event: 'summary', ...summary});
	console.log(JSON.stringify(summary));
	return broken > 0;
});
