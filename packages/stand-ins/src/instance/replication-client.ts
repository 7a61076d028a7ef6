import {connect, type Socket} from 'node:net';
import {
	encodeFrame, FrameDecoder, type Logger, type TimerService,
} from '@tarragonstack/core';
import {createStartupMessage} from 'pg-gateway';
import {type InstanceFaults} from './instance-options.js';
import {type InstanceState} from './instance-state.js';
import {replicationParameter, type HelloMessage, type PrimaryMessage} from './replication-message.js';

/** Delay before reconnecting to the primary. */
const reconnectDelayMilliseconds = 50;

/** Options of a `ReplicationClient`. */
export type ReplicationClientOptions = {
	readonly name: string;
	readonly localAddress: string;
	readonly state: InstanceState;
	readonly faults: InstanceFaults;
	readonly timerService: TimerService;
	readonly logger: Logger;
};

type PendingMessage = {
	readonly dueTime: number;
	readonly message: PrimaryMessage;
};

/** Replicates the log of a primary until it is disposed of, and reconnects when the connection is lost. */
export class ReplicationClient implements Disposable {
	/** Resolves with the number of truncated entries after the first log comparison with the primary. */
	readonly truncatedCount: Promise<number>;
	readonly #options: ReplicationClientOptions;
	readonly #primaryAddress: string;
	readonly #abort = new AbortController();
	readonly #pendingMessages: PendingMessage[] = [];
	#timer: Disposable | undefined;
	#socket: Socket | undefined;
	#resolveTruncatedCount: ((truncated: number) => void) | undefined;

	/**
	 * @param primaryAddress - IP address and port of the primary.
	 * @param options - Identity and state of the replica.
	 */
	constructor(primaryAddress: string, options: ReplicationClientOptions) {
		this.#primaryAddress = primaryAddress;
		this.#options = options;
		this.truncatedCount = new Promise(resolve => {
			this.#resolveTruncatedCount = resolve;
		});
		void this.#run();
	}

	/** @inheritdoc */
	[Symbol.dispose](): void {
		this.#abort.abort();
		this.#timer?.[Symbol.dispose]();
		this.#pendingMessages.length = 0;
		this.#socket?.destroy();
	}

	async #run(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			await this.#connect();
			await this.#options.timerService.sleep(reconnectDelayMilliseconds, this.#abort.signal);
		}
	}

	async #connect(): Promise<void> {
		const [host, port] = this.#primaryAddress.split(':');
		const socket = connect({host: host!, port: Number(port), localAddress: this.#options.localAddress});
		this.#socket = socket;
		socket.setNoDelay(true);
		const decoder = new FrameDecoder();
		socket.on('connect', () => {
			socket.write(createStartupMessage({majorVersion: 3, minorVersion: 0, parameters: {user: 'replication', [replicationParameter]: 'on'}}));
		});
		socket.on('data', (chunk: Buffer) => {
			const messages = decoder.push(chunk);
			if (messages.isErr()) {
				socket.destroy();
				return;
			}

			for (const message of messages.value) {
				this.#handleMessage(message as PrimaryMessage, socket);
			}
		});
		await new Promise<void>(resolve => {
			socket.on('error', () => {});
			socket.on('close', () => {
				resolve();
			});
		});
	}

	#handleMessage(message: PrimaryMessage, socket: Socket): void {
		const {state} = this.#options;
		if (message.kind === 'welcome') {
			const hello: HelloMessage = {
				kind: 'hello', name: this.#options.name, term: state.term, marks: state.log.marks, lastIndex: state.position.index,
			};
			socket.write(encodeFrame(hello));
			return;
		}

		if (this.#abort.signal.aborted || message.kind === 'refused' || message.term < state.term) {
			socket.destroy();
			return;
		}

		state.adoptTerm(message.term);
		state.recordPrimaryMessage();
		if (message.kind === 'start') {
			this.#handleStart(message.index, message.markCount);
		} else if (message.kind === 'records') {
			this.#applyAfterLag(message);
		}
	}

	#handleStart(index: number, markCount: number): void {
		const {state, logger} = this.#options;
		this.#pendingMessages.length = 0;
		const truncated = state.truncate(index, markCount);
		if (truncated > 0) {
			logger.warn({truncated, index}, 'truncated log entries that the primary does not have');
		}

		this.#resolveTruncatedCount?.(truncated);
	}

	#applyAfterLag(message: PrimaryMessage): void {
		const {timerService, faults} = this.#options;
		this.#pendingMessages.push({dueTime: timerService.now() + faults.lagMilliseconds, message});
		this.#applyDueMessages();
	}

	#applyDueMessages(): void {
		const {state, timerService, faults} = this.#options;
		this.#timer?.[Symbol.dispose]();
		this.#timer = undefined;
		while (this.#pendingMessages.length > 0) {
			const {dueTime, message} = this.#pendingMessages[0]!;
			const wait = faults.lagMilliseconds === 0 ? 0 : dueTime - timerService.now();
			if (wait > 0) {
				this.#timer = timerService.schedule(wait, () => {
					this.#applyDueMessages();
				});
				return;
			}

			this.#pendingMessages.shift();
			if (message.kind === 'records') {
				for (const record of message.records) {
					state.appendRecord(record);
				}
			}
		}
	}
}
