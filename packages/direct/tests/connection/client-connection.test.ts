import {once} from 'node:events';
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {SystemTimerService} from '@tarragonstack/core/time/system-timer-service';
import {ok} from 'neverthrow';
import {afterEach, describe, expect, it} from 'vitest';
import {
	type ClientCodec, ClientConnection, type ClientMessage, ClientMessageKind, type ClientSession, type Statement, type StatementErrorCode, StatementKind, type StatementResult,
} from '../../src/index.js';

const timer = new SystemTimerService();

/** Duration of a statement, in milliseconds. */
const serviceMilliseconds = 30;

/** Time within which all sent data arrives, in milliseconds. */
const deliveryMilliseconds = 100;

/** Interval at which a stop closes idle connections, in milliseconds. */
const checkMilliseconds = 50;

/** Delay of a segment that TCP sends again, in milliseconds. */
const retransmissionMilliseconds = 210;

/** Time after which a connection is closed whose client sends nothing, in milliseconds. */
const silentMilliseconds = 1300;

/** Interval at which a test looks at a connection, in milliseconds. */
const pollMilliseconds = 10;

/** Time within which a client must learn that its connection was closed, in milliseconds. */
const resetMilliseconds = 150;

const cleanUps: Array<() => void> = [];

afterEach(() => {
	for (const cleanUp of cleanUps.splice(0)) {
		cleanUp();
	}
});

type ConnectionFixture = {
	readonly socket: Socket;
	readonly connection: ClientConnection;
	/** Identifiers of the statements that were executed. */
	readonly executed: string[];
	/** Lines that the client received. */
	readonly received: string[];
};

/** Decodes one word per line: first a database, then identifiers of statements. */
class WordCodec implements ClientCodec {
	#partial = '';

	get hasPartialMessage(): boolean {
		return this.#partial !== '';
	}

	decode(chunk: Buffer): ClientMessage[] {
		const words = (this.#partial + chunk.toString('latin1')).split('\n');
		this.#partial = words.pop()!;
		return words.filter(word => word !== '').map((word): ClientMessage => word === 'database'
			? {kind: ClientMessageKind.Startup, credentials: {database: word}}
			: {kind: ClientMessageKind.Statement, statement: {identifier: word, kind: StatementKind.Write, text: word}});
	}

	encodeReady(): string {
		return 'ready\n';
	}

	encodeFatalError(code: StatementErrorCode): string {
		return `fatal ${code}\n`;
	}

	encodeResult({completion}: StatementResult): string {
		return `done ${completion}\n`;
	}
}

async function open({allowHalfOpen = false, configured = Promise.resolve()} = {}): Promise<ConnectionFixture> {
	const executed: string[] = [];
	const session: {isInTransaction: boolean; isAccessDenied: boolean; execute(statement: Statement): Promise<StatementResult>} = {
		isInTransaction: false,
		isAccessDenied: false,
		async execute({identifier}: Statement) {
			executed.push(identifier);
			this.isAccessDenied = identifier.startsWith('denied');
			await timer.sleep(serviceMilliseconds);
			return {rows: [], completion: identifier, status: TransactionStatus.Idle};
		},
	};
	let connection: ClientConnection | undefined;
	const server = createServer(accepted => {
		connection = new ClientConnection(accepted, new WordCodec(), {openSession: () => ok(session as unknown as ClientSession), closeSession() {}, waitUntilConfigured: async () => configured}, {log: {write() {}}, timer});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const received: string[] = [];
	const socket = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen, noDelay: true});
	socket.on('error', () => {});
	socket.on('data', chunk => {
		received.push(...chunk.toString('latin1').split('\n').filter(line => line !== ''));
	});
	cleanUps.push(() => {
		socket.destroy();
		server.close();
	});
	socket.write('database\n');
	while (received.length === 0) {
		await timer.sleep(2);
	}

	return {socket, connection: connection!, executed, received};
}

async function runFirstStatement(socket: Socket): Promise<void> {
	socket.write('first\n');
	await timer.sleep(serviceMilliseconds * 2);
}

/** Blocks the event loop, like a process that gets no processor time. */
function block(milliseconds: number): void {
	const end = timer.now() + milliseconds;
	while (timer.now() < end) {
		// Waits.
	}
}

/** Closes a connection when it is idle, as a stop does, and checks again in an interval. */
async function closeForMilliseconds(connection: ClientConnection, milliseconds: number): Promise<void> {
	for (const end = timer.now() + milliseconds; timer.now() < end;) {
		connection.closeWhenIdle();
		await timer.sleep(checkMilliseconds);
	}
}

describe('a client connection that the host closes', () => {
	// Guards against statements that run although their response can no longer be sent, so that the client assumes they
	// were lost.
	it.each([
		{name: 'executes nothing that arrives after an idle connection was ended', async act({socket, connection}: ConnectionFixture) {
			await runFirstStatement(socket);
			connection.closeWhenIdle();
			await once(socket, 'end');
			socket.write('late\n');
		}, executed: ['first'], received: ['ready', 'done first']},
		{name: 'answers the statement that is running, and executes nothing after it', async act({socket, connection}: ConnectionFixture) {
			socket.write('running\n');
			await timer.sleep(serviceMilliseconds / 3);
			connection.closeWhenIdle();
			await timer.sleep(serviceMilliseconds * 2);
			socket.write('late\n');
		}, executed: ['running'], received: ['ready', 'done running']},
		{name: 'answers all statements that were read before it closes', async act({socket, connection}: ConnectionFixture) {
			socket.write('first\nsecond\n');
			await timer.sleep(serviceMilliseconds / 3);
			connection.closeWhenIdle();
		}, executed: ['first', 'second'], received: ['ready', 'done first', 'done second']},
	])('$name', async ({act, executed, received}) => {
		const opened = await open({allowHalfOpen: true});
		await act(opened);
		await timer.sleep(deliveryMilliseconds + (serviceMilliseconds * 2));
		expect(opened.executed).toEqual(executed);
		expect(opened.received).toEqual(received);
		expect(opened.socket.readableEnded).toBe(true);
	});
});

// The failures of docs/incidents/single-operation-sessions-lost-at-a-stop.md.
describe('a client connection that the host closes while a request is on its way', () => {
	it.each([
		{guards: 'a session that is closed before its first statement arrives', async act({socket, connection}: ConnectionFixture) {
			const closed = closeForMilliseconds(connection, 2 * retransmissionMilliseconds);
			await timer.sleep(retransmissionMilliseconds);
			socket.write('late\n');
			await closed;
		}, received: ['ready', 'done late']},
		{guards: 'a statement that waits in the socket while the host has no processor time', async act({socket, connection}: ConnectionFixture) {
			await runFirstStatement(socket);
			socket.write('waiting\n');
			block(250);
			connection.closeWhenIdle();
		}, received: ['ready', 'done first', 'done waiting']},
		{guards: 'a last close that drops a statement that waits in the socket', async act({socket, connection}: ConnectionFixture) {
			await runFirstStatement(socket);
			socket.write('waiting\n');
			block(250);
			connection.end();
		}, received: ['ready', 'done first', 'done waiting']},
		{guards: 'a statement that has arrived in part', async act({socket, connection}: ConnectionFixture) {
			await runFirstStatement(socket);
			socket.write('pa');
			await timer.sleep(serviceMilliseconds);
			const closed = closeForMilliseconds(connection, 2 * retransmissionMilliseconds);
			await timer.sleep(retransmissionMilliseconds);
			socket.write('rtial\n');
			await closed;
		}, received: ['ready', 'done first', 'done partial']},
		{guards: 'a client whose later statements get no answer after a refused API key', async act({socket}: ConnectionFixture) {
			socket.write('denied1\ndenied2\n');
		}, received: ['ready', 'done denied1', 'done denied2']},
	])('guards against $guards', async ({act, received}) => {
		const opened = await open();
		await act(opened);
		await timer.sleep(deliveryMilliseconds + (serviceMilliseconds * 2));
		expect(opened.received).toEqual(received);
		expect(opened.socket.readableEnded).toBe(true);
	});

	it.each([
		{name: 'a session without a statement', text: ''},
		{name: 'a statement that never arrives in full', text: 'pa'},
	])('closes $name after a limited time, also if it is asked once', async ({text}) => {
		const {socket, connection} = await open();
		socket.write(text);
		await timer.sleep(serviceMilliseconds);
		connection.closeWhenIdle();
		// Host and test share the process, so a time without processor time counts as one interval for both.
		for (let interval = 0; interval < silentMilliseconds / pollMilliseconds && !socket.readableEnded; interval++) {
			await timer.sleep(pollMilliseconds);
		}

		expect(socket.readableEnded).toBe(true);
	});

	// Guards against a client that learns only from the second end, 200 ms later, that its connection was closed.
	it('resets a connection on which input arrives after its end', async () => {
		const {socket, connection} = await open({allowHalfOpen: true});
		await runFirstStatement(socket);
		connection.closeWhenIdle();
		await once(socket, 'end');
		// The client's stream does not read any more after the end, so that only a further write shows the reset.
		const end = timer.now() + resetMilliseconds;
		while (!socket.destroyed && timer.now() < end) {
			socket.write('late\n');
			await timer.sleep(pollMilliseconds);
		}

		expect(socket.destroyed).toBe(true);
	});
});

describe('a client connection to a host that starts', () => {
	// Guards against clients that are turned away because they return before their host knows its configuration.
	it('opens the session, and executes what was sent with it, when the host is configured', async () => {
		const startedAt = timer.now();
		const {socket, executed, received} = await open({configured: timer.sleep(serviceMilliseconds)});
		expect(timer.now() - startedAt).toBeGreaterThanOrEqual(serviceMilliseconds - 1);
		socket.write('first\n');
		await timer.sleep(serviceMilliseconds + deliveryMilliseconds);
		expect(executed).toEqual(['first']);
		expect(received).toEqual(['ready', 'done first']);
	});
});
