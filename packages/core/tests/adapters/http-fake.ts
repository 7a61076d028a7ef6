import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

/** Handler of one request with its complete body. */
export type FakeHandler = (path: string, body: string, response: ServerResponse, request: IncomingMessage) => void;

/** HTTP server for tests, on a port assigned by the operating system. */
export class HttpFake implements AsyncDisposable {
	static async start(handler: FakeHandler): Promise<HttpFake> {
		const fake = new HttpFake(handler);
		fake.#server.listen(0, '127.0.0.1');
		await once(fake.#server, 'listening');
		return fake;
	}

	readonly #server;

	private constructor(handler: FakeHandler) {
		this.#server = createServer((request, response) => {
			const chunks: Buffer[] = [];
			request.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				handler(request.url ?? '', Buffer.concat(chunks).toString('utf8'), response, request);
			});
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.closeAllConnections();
		this.#server.close();
		await once(this.#server, 'close');
	}
}
