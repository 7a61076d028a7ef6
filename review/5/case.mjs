/* eslint-disable no-unmodified-loop-condition -- a script of the review, which runs outside of CI */
// One client prepares a statement whose shape contains blanks. Checks which shapes the prepared statements of the other clients run.
import {Client} from '../lib/client.mjs';
import {Deployment, sleep} from '../lib/fleet.mjs';
import {runCase} from '../lib/run-case.mjs';

const playedMilliseconds = 6000;
/** Shape of the other clients, and the definition of the one client: a shape extends to the end of the line. */
const shape = 'q2c';
const longDefinition = `WRITE ${shape} WRITE q9 x`;

await runCase(import.meta.dirname, async ({isTroubled, record, onCleanUp}) => {
	const deployment = await Deployment.start({hosts: 3, record});
	onCleanUp(() => deployment.stop());
	await deployment.waitUntilReady();
	const [host] = deployment.hosts;
	const prepared = new Map();
	let isRunning = true;
	const ask = async (client, id, text) => {
		record({event: 'sent', id, text});
		const answer = await client.query(id, text);
		record({event: 'answered', id, answer: answer ?? 'none'});
		return answer;
	};

	const runClient = async (name, definition, interval) => {
		const client = new Client(host.front);
		await client.startUp('booking');
		await ask(client, `${name}p`, `PREPARE s1 ${definition}`);
		for (let number = 0; isRunning; number++) {
			const id = `${name}n${number}`;
			prepared.set(id, definition);
			await ask(client, id, `EXECUTE s1 k${number} v${number}`);
			await sleep(interval);
		}

		client.close();
	};

	const all = [runClient('a', `WRITE ${shape}`, 50), runClient('b', `WRITE ${shape}`, 70)];
	await sleep(playedMilliseconds / 3);
	if (isTroubled) {
		record('a third client prepares a shape with blanks');
		all.push(runClient('c', longDefinition, 30));
	}

	await sleep(playedMilliseconds * 2 / 3);
	isRunning = false;
	await Promise.all(all);
	const wrong = {};
	for (const {id, text, prepared: ran} of deployment.instances.flatMap(instance => instance.runs)) {
		const expected = prepared.get(id);
		if (ran && expected && expected !== `${ran.kind} ${ran.shape}`) {
			record({event: 'other shape', id, text, expected, ran: `${ran.kind} ${ran.shape}`});
			wrong[id[0]] = (wrong[id[0]] ?? 0) + 1;
		}
	}

	record({event: 'summary', wrong});
	console.log(JSON.stringify({wrong}));
	return Object.keys(wrong).length > 0;
});
