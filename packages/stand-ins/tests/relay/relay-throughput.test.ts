import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {Worker} from 'node:worker_threads';
import {expect, it} from 'vitest';
import {SystemTimerService} from '@tarragonstack/core';

/** Minimum number of messages that the relay must forward per second of processor time. */
const requiredMessagesPerSecond = 20_000;

const connectionCount = 100;
/** Messages in flight per connection. With one, each message is read and written separately. */
const messagesInFlight = 1;
const durationMilliseconds = 2000;
const messageBytes = 64;

/** Clock ticks per second in /proc/PID/stat. Linux fixes them at 100. */
const ticksPerSecond = 100;

const echoServer = `
const {createServer} = require('node:net');
const {parentPort} = require('node:worker_threads');
const server = createServer({noDelay: true}, socket => { socket.on('error', () => {}); socket.pipe(socket); });
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

async function getProcessorSeconds(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

async function post(url: string, body: unknown): Promise<any> {
	const response = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
	return response.json();
}

it.each([
	{guards: 'forwarding that costs too much', delayMilliseconds: 0},
	{guards: 'a delay queue that costs too much', delayMilliseconds: 1},
])('forwards more than 20,000 messages per second of processor time: $guards', async ({delayMilliseconds}) => {
	const timerService = new SystemTimerService();
	const relay = spawn(process.execPath, [fileURLToPath(new URL('../../dist/main.js', import.meta.url)), 'relay'], {stdio: ['ignore', 'pipe', 'inherit']});
	const worker = new Worker(echoServer, {eval: true});
	const sockets: Socket[] = [];
	const counter = {received: 0};
	try {
		// The relay and the worker start concurrently, so both listeners must be added before the first await.
		const [[line], [echoPort]] = await Promise.all([once(createInterface({input: relay.stdout}), 'line'), once(worker, 'message')]);
		const url = `http://${JSON.parse(line).addresses.control}`;
		const {address} = await post(`${url}/destinations`, {name: 'server', zone: 'b', address: `127.0.0.1:${echoPort}`});
		await post(`${url}/rules`, {source: {}, destination: {}, delayMilliseconds});
		const message = Buffer.alloc(messageBytes);
		for (let index = 0; index < connectionCount; index++) {
			const socket = connect({host: '127.0.0.1', port: Number(address.split(':')[1]), noDelay: true});
			sockets.push(socket);
			let pendingBytes = 0;
			socket.on('data', (chunk: Buffer) => {
				pendingBytes += chunk.length;
				while (pendingBytes >= messageBytes) {
					pendingBytes -= messageBytes;
					// The relay forwards each message twice: as a request and as a response.
					counter.received += 2;
					socket.write(message);
				}
			});
			await once(socket, 'connect');
		}

		const [startTime, startSeconds] = [timerService.now(), await getProcessorSeconds(relay.pid!)];
		for (const socket of sockets) {
			for (let count = 0; count < messagesInFlight; count++) {
				socket.write(message);
			}
		}

		await timerService.sleep(durationMilliseconds);
		const elapsedSeconds = (timerService.now() - startTime) / 1000;
		const processorSeconds = await getProcessorSeconds(relay.pid!) - startSeconds;
		const {received} = counter;
		const perProcessorSecond = received / processorSeconds;
		process.stdout.write(`relay, delay ${delayMilliseconds} ms: ${Math.round(received / elapsedSeconds)} messages/s, `
			+ `${Math.round(perProcessorSecond)} messages per second of processor time\n`);
		// The rate per processor time does not depend on the other load of the machine.
		expect(perProcessorSecond).toBeGreaterThan(requiredMessagesPerSecond);
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		relay.kill('SIGTERM');
		await once(relay, 'exit');
		await worker.terminate();
	}
}, 20_000);
