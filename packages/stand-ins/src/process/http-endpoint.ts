import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';

/** Greatest size of a request's body, in bytes. The greatest value of the key-value service, in base64, fits. */
const maximumBodyBytes = 4 * 1_048_576;

/** One request to an `HttpEndpoint`. */
export type HttpCall = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	/** Parsed JSON body; an empty object when there is none. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

/** Handles a call. A returned value is sent as JSON; without one the handler has answered or destroyed the response itself. */
export type HttpHandler = (call: HttpCall) => unknown;

/** Error that becomes a response with the given status. */
export class HttpError extends Error {
	constructor(readonly status: number, readonly body: unknown) {
		super(`HTTP ${status}`);
	}
}

async function readBody(request: IncomingMessage): Promise<Readonly<Record<string, unknown>>> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length > maximumBodyBytes) {
			throw new HttpError(413, {error: 'the body is too long'});
		}

		chunks.push(chunk);
	}

	if (length === 0) {
		return {};
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
	} catch {
		throw new HttpError(400, {error: 'the body is not JSON'});
	}
}

/** Small HTTP server with JSON bodies. */
export class HttpEndpoint implements AsyncDisposable {
	readonly #server: Server;
	readonly #handler: HttpHandler;

	/** @param handler - Handles all calls. */
	constructor(handler: HttpHandler) {
		this.#handler = handler;
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - IP address.
	 * @param port - Port; 0 lets the system choose.
	 * @returns The address with the port.
	 */
	async listen(address: string, port: number): Promise<string> {
		this.#server.listen(port, address);
		await once(this.#server, 'listening');
		return `${address}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const url = new URL(request.url ?? '/', 'http://stand-in');
			const body = await readBody(request);
			const result = await this.#handler({
				method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, body, request, response,
			});
			if (result !== undefined) {
				this.#send(response, 200, result);
			}
		} catch (error: unknown) {
			if (error instanceof HttpError) {
				this.#send(response, error.status, error.body);
			} else {
				this.#send(response, 500, {error: error instanceof Error ? error.message : String(error)});
			}
		}
	}

	#send(response: ServerResponse, status: number, body: unknown): void {
		if (response.destroyed || response.headersSent) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}
