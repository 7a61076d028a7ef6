import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';

/** Encodes a back-end message. */
export function message(type: string, ...parts: Buffer[]): Buffer {
	const body = Buffer.concat(parts);
	const header = Buffer.alloc(5);
	header.write(type, 'latin1');
	header.writeInt32BE(body.length + 4, 1);
	return Buffer.concat([header, body]);
}

function integer(value: number, bytes: 2 | 4): Buffer {
	const buffer = Buffer.alloc(bytes);
	buffer.writeIntBE(value, 0, bytes);
	return buffer;
}

/** Encodes a zero-terminated string. */
export function text(value: string): Buffer {
	return Buffer.from(`${value}\0`);
}

/** ReadyForQuery outside a transaction. */
export const ready = message('Z', Buffer.from('I'));

/** Encodes the response to a simple query, with one row of text columns. */
export function createRowResponse(row: Readonly<Record<string, string>>): Buffer {
	const names = Object.keys(row);
	return Buffer.concat([
		message('T', integer(names.length, 2), ...names.flatMap(name => [
			text(name), integer(0, 4), integer(0, 2), integer(25, 4), integer(-1, 2), integer(-1, 4), integer(0, 2),
		])),
		message('D', integer(names.length, 2), ...names.flatMap(name => {
			const value = Buffer.from(row[name] ?? '');
			return [integer(value.length, 4), value];
		})),
		message('C', text('SELECT 1')),
		ready,
	]);
}

/** Accepted connection with the queries received on it. */
export type Connection = {
	readonly socket: Socket;
	readonly queries: string[];
};

/** Server that accepts the startup message and records simple queries. `onQuery` handles them. */
export class FakeControlServer {
	readonly connections: Connection[] = [];
	readonly #server: Server;

	constructor() {
		// Without TCP_NODELAY, delayed acknowledgements delay the second of two responses by 40 ms.
		this.#server = createServer({noDelay: true}, socket => {
			this.#serve(socket);
		});
	}

	onQuery = (connection: Connection, query: string): void => {
		connection.socket.destroy(new Error(`unexpected query ${query}`));
	};

	getPort(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address ? address.port : 0;
	}

	async listen(address = '127.0.0.1', port = 0): Promise<this> {
		this.#server.listen(port, address);
		await once(this.#server, 'listening');
		return this;
	}

	async close(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		const closed = once(this.#server, 'close');
		this.#server.close();
		for (const {socket} of this.connections) {
			socket.resetAndDestroy();
		}

		await closed;
	}

	#serve(socket: Socket): void {
		const connection: Connection = {socket, queries: []};
		this.connections.push(connection);
		let buffer = Buffer.alloc(0);
		let started = false;
		socket.on('error', () => {});
		socket.on('data', chunk => {
			buffer = Buffer.concat([buffer, chunk]);
			for (;;) {
				const prefix = started ? 1 : 0;
				if (buffer.length < prefix + 4 || buffer.length < prefix + buffer.readInt32BE(prefix)) {
					return;
				}

				const end = prefix + buffer.readInt32BE(prefix);
				const body = buffer.subarray(prefix + 4, end);
				buffer = buffer.subarray(end);
				if (started) {
					const query = body.toString('utf8').replace(/\0$/v, '');
					connection.queries.push(query);
					this.onQuery(connection, query);
				} else {
					started = true;
					socket.write(Buffer.concat([message('R', integer(0, 4)), ready]));
				}
			}
		});
	}
}

