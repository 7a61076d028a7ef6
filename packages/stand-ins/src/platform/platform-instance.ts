import {once} from 'node:events';
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';

/** Options of a `PlatformInstance`. */
export type PlatformInstanceOptions = {
	readonly service: string;
	readonly id: string;
	readonly role: 'primary' | 'replica';
};

type Session = {
	status: 'I' | 'T' | 'E';
	readonly prepared: Map<string, string>;
};

/** Stand-in for a platform instance. Implements the wire protocol with a log position but without data. */
export class PlatformInstance implements AsyncDisposable {
	/** Received statement texts with their request identifiers. */
	readonly received: Array<{readonly identifier: string; readonly text: string}> = [];
	/** Role reported to clients. */
	role: 'primary' | 'replica';
	/** Current log term. */
	term = 1;
	/** Index of the last commit in the log. */
	index = 0;
	/** Whether received lines get no response. */
	isSilent = false;
	/** Time from a statement of a client to its response, in milliseconds. Statements that a host issues itself take no time. */
	serviceMilliseconds = 0;
	/** Error codes with which the next statements fail, in order. */
	readonly queuedErrors: string[] = [];
	readonly #options: PlatformInstanceOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/**
	 * @param options - Identity of the instance.
	 */
	constructor(options: PlatformInstanceOptions) {
		this.#options = options;
		this.role = options.role;
		this.#server = createServer(socket => {
			this.#serve(socket);
		});
	}

	/**
	 * Starts listening.
	 *
	 * @param address - IP address to listen on.
	 * @returns The address and port.
	 */
	async listen(address: string): Promise<string> {
		this.#server.listen(0, address);
		await once(this.#server, 'listening');
		return `${address}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.stop();
	}

	#serve(socket: Socket): void {
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('error', () => {
			// Tests may reset the connection at any time.
		});
		const session: Session = {status: 'I', prepared: new Map()};
		let pending = '';
		socket.on('data', chunk => {
			pending += chunk.toString('latin1');
			const lines = pending.split('\r\n');
			pending = lines.pop() ?? '';
			for (const line of lines) {
				const response = this.isSilent ? '' : this.#handleLine(line, session, socket);
				if (response === '') {
					continue;
				}

				// A host sends the next statement of a connection only after the response to the previous one.
				if (this.serviceMilliseconds > 0 && /^QUERY (?!- )/v.test(line)) {
					setTimeout(() => {
						socket.write(response, 'latin1');
					}, this.serviceMilliseconds);
				} else {
					socket.write(response, 'latin1');
				}
			}
		});
	}

	#handleLine(line: string, session: Session, socket: Socket): string {
		const [keyword, first = '', ...rest] = line.split(' ');
		if (keyword === 'STARTUP') {
			if (first === this.#options.service && (rest[1] === undefined || rest[1] === this.#options.id)) {
				return this.#formatReady(session);
			}

			socket.end('ERROR WRONGNODE other\r\n');
			return '';
		}

		const text = rest.join(' ');
		this.received.push({identifier: first, text});
		const error = this.queuedErrors.shift();
		if (error !== undefined) {
			session.status = session.status === 'I' ? 'I' : 'E';
			return `ERROR ${error} stand-in\r\n${this.#formatReady(session)}`;
		}

		return this.#execute(first, text.replace(/^AFTER [^ ]+ /v, ''), session);
	}

	#execute(identifier: string, text: string, session: Session): string {
		const [verb = '', name = '', kind = ''] = text.split(' ');
		const effectiveVerb = verb === 'EXECUTE' ? session.prepared.get(name) ?? 'UNKNOWN' : verb;
		if (effectiveVerb === 'UNKNOWN') {
			return `ERROR NOSTMT ${name}\r\n${this.#formatReady(session)}`;
		}

		if ((effectiveVerb === 'WRITE' || text === 'BEGIN') && this.role === 'replica') {
			return `ERROR READONLY ${this.#options.id}\r\n${this.#formatReady(session)}`;
		}

		const handlers: Readonly<Record<string, () => string>> = {
			BEGIN: () => this.#setStatus(session, 'T'),
			ROLLBACK: () => this.#setStatus(session, 'I'),
			STATUS: () => `ROW ${this.role} ${this.term} ${this.term}.${this.index} 0 0 0 1\r\nCOMPLETE -\r\n`,
			STEPDOWN: () => {
				this.role = 'replica';
				return `ROW replica ${name} ${this.term}.${this.index} 0 0 0 1\r\nCOMPLETE -\r\n`;
			},
			RESET() {
				session.prepared.clear();
				return 'COMPLETE -\r\n';
			},
			PREPARE() {
				session.prepared.set(name, kind);
				return 'COMPLETE -\r\n';
			},
			SET: () => 'COMPLETE -\r\n',
			READ: () => `ROW ${this.index}\r\nCOMPLETE proof.${identifier}\r\n`,
			WRITE: () => {
				this.index++;
				return `COMPLETE proof.${identifier}\r\n`;
			},
			COMMIT() {
				session.status = 'I';
				return `COMPLETE proof.${identifier}\r\n`;
			},
		};
		return `${handlers[effectiveVerb]?.() ?? 'ERROR MALFORMED unknown\r\n'}${this.#formatReady(session)}`;
	}

	#setStatus(session: Session, status: Session['status']): string {
		session.status = status;
		return 'COMPLETE -\r\n';
	}

	#formatReady({status}: Session): string {
		return `READY ${status} ${this.term}.${this.index}\r\n`;
	}
}
