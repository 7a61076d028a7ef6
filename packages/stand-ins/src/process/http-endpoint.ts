import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';

/** Maximum size of a request body, in bytes. Has room for the largest value of the key-value service in base64. */
const maximumBodyBytes = 4 * 1_048_576;

/** Request received by an `HttpEndpoint`. */
export type HttpCall = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	/** Parsed JSON body; an empty object if the request has none. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

/** Handles a call. A returned value is sent as JSON; `undefined` means that the handler takes care of the response. */
export type HttpHandler = (call: HttpCall) => unknown;

/** Error that is sent as a response with the given status and body. */
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
			throw new HttpError(413, {error: 'request body is too large'});
		}

		chunks.push(chunk);
	}

	if (length === 0) {
		return {};
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
	} catch {
		throw new HttpError(400, {error: 'request body is not valid JSON'});
	}
}

/** Minimal HTTP server with JSON request and response bodies. */
export class HttpEndpoint implements AsyncDisposable {
	readonly #server: Server;
	readonly #handler: HttpHandler;

	/** @param handler - Handler of all calls. */
	constructor(handler: HttpHandler) {
		this.#handler = handler;
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	/**
	 * Starts listening.
	 *
	 * @param address - IP address to listen on.
	 * @param port - Port; 0 selects a free port.
	 * @returns The address and port.
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
