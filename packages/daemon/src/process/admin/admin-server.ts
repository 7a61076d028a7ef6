import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Logger} from '@tarragonstack/core';
import {z} from 'zod';

/** Maximum length of a request body, in bytes. */
const maximumBodyBytes = 4096;

/** Response body of `GET /health`. */
export type Health = {
	readonly accepting: boolean;
	/** Reason why the host accepts no requests. */
	readonly reason?: string;
	readonly configurationVersion?: number;
};

/** Options of `AdminServer`. */
export type AdminServerOptions = {
	readonly address: string;
	readonly port: number;
	readonly getHealth: () => Health;
	readonly getStatus: () => unknown;
	/** Promotes an instance on behalf of an operator and returns a description of the outcome. */
	readonly promote: (group: string, instance: string | undefined) => Promise<PromotionReply>;
	readonly logger: Logger;
};

/** Outcome of a promotion that an operator requested. */
export type PromotionReply = {
	readonly promoted: boolean;
	readonly message: string;
};

type Reply = {
	readonly status: number;
	readonly body: unknown;
};

type Handler = (request: IncomingMessage) => Promise<Reply>;

const promotionSchema = z.strictObject({group: z.string(), instance: z.string().optional()});

/** HTTP server for the health checks of the load balancer and the requests of operators. */
export class AdminServer implements AsyncDisposable {
	readonly #options: AdminServerOptions;
	readonly #server: Server;
	readonly #handlers: Readonly<Record<string, Handler>> = {
		'GET /health': async () => this.#getHealth(),
		'GET /status': async () => ({status: 200, body: this.#options.getStatus()}),
		'POST /promote': async request => this.#promote(request),
	};

	/**
	 * @param options - Address of the listener and the functions that handle the paths.
	 */
	constructor(options: AdminServerOptions) {
		this.#options = options;
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	/** Starts listening and returns the bound address as `IP:port`. Rejects if the port is in use. */
	async listen(): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#options.port, this.#options.address, resolve);
		});
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Closes the listener and all connections. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const handler = this.#handlers[`${request.method} ${request.url}`];
		let reply: Reply;
		try {
			reply = handler ? await handler(request) : {status: 404, body: {error: 'unknown path; see docs/operators.md'}};
		} catch (error) {
			this.#options.logger.warn({error: String(error)}, 'admin request failed');
			reply = {status: 400, body: {error: String(error)}};
		}

		response.writeHead(reply.status, {'content-type': 'application/json'});
		response.end(`${JSON.stringify(reply.body)}\n`);
	}

	#getHealth(): Reply {
		const health = this.#options.getHealth();
		return {status: health.accepting ? 200 : 503, body: health};
	}

	async #promote(request: IncomingMessage): Promise<Reply> {
		const {group, instance} = promotionSchema.parse(JSON.parse(await readBody(request)));
		const reply = await this.#options.promote(group, instance);
		return {status: reply.promoted ? 200 : 409, body: reply};
	}
}

async function readBody(request: IncomingMessage): Promise<string> {
	const parts: Buffer[] = [];
	let length = 0;
	for await (const part of request) {
		length += (part as Buffer).length;
		if (length > maximumBodyBytes) {
			throw new Error(`request body is longer than ${maximumBodyBytes} bytes`);
		}

		parts.push(part as Buffer);
	}

	return Buffer.concat(parts).toString('utf8');
}
