import {type Socket} from 'node:net';
import {
	encodeFrame, FrameDecoder, maximumFrameBytes, type Logger, type TimerService,
} from '@tarragonstack/core';
import {type InstanceFaults} from './instance-options.js';
import {InstanceRole, type InstanceState} from './instance-state.js';
import {type LogRecord} from './replicated-log.js';
import {type HelloMessage, type PrimaryMessage} from './replication-message.js';

/** Interval between keep-alive messages to the replicas. */
const keepAliveIntervalMilliseconds = 20;

/** Maximum number of log entries per message. */
const maximumEntriesPerMessage = 100;

/** Number of bytes buffered in a socket at which sending records to it pauses. */
const maximumBufferedBytes = 262_144;

type Follower = {
	readonly socket: Socket;
	index: number;
	markCount: number;
};

/** Streams the log to the replicas while the instance is the primary. */
export class ReplicationServer implements Disposable {
	readonly #state: InstanceState;
	readonly #faults: InstanceFaults;
	readonly #logger: Logger;
	readonly #followers = new Map<Socket, Follower>();
	readonly #subscriptions: Disposable[];

	/**
	 * @param state - Term, role and log of the instance.
	 * @param faults - Injected faults.
	 * @param timerService - Timer of the keep-alive messages.
	 * @param logger - Logs demotions caused by replicas with a newer term.
	 */
	constructor(state: InstanceState, faults: InstanceFaults, timerService: TimerService, logger: Logger) {
		this.#state = state;
		this.#faults = faults;
		this.#logger = logger;
		this.#subscriptions = [
			state.subscribeToRecords(() => {
				for (const follower of this.#followers.values()) {
					this.#sendRecords(follower);
				}
			}),
			state.subscribeToRole(() => {
				if (state.role !== InstanceRole.Primary) {
					this.#disconnectFollowers();
				}
			}),
			timerService.subscribe(keepAliveIntervalMilliseconds, () => {
				for (const follower of this.#followers.values()) {
					this.#send(follower.socket, {kind: 'keep-alive', term: state.term});
				}
			}),
		];
	}

	/**
	 * Serves a replica.
	 *
	 * @param socket - Connection whose startup message has been read.
	 */
	serve(socket: Socket): void {
		const decoder = new FrameDecoder();
		socket.on('data', (chunk: Buffer) => {
			const messages = decoder.push(chunk);
			if (messages.isErr()) {
				socket.destroy();
				return;
			}

			for (const message of messages.value) {
				this.#handleHello(socket, message as HelloMessage);
			}
		});
		this.#send(socket, {kind: 'welcome', term: this.#state.term});
		socket.resume();
		socket.on('close', () => {
			this.#followers.delete(socket);
		});
		socket.on('drain', () => {
			const follower = this.#followers.get(socket);
			if (follower) {
				this.#sendRecords(follower);
			}
		});
	}

	/** @inheritdoc */
	[Symbol.dispose](): void {
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}

		this.#disconnectFollowers();
	}

	#handleHello(socket: Socket, hello: HelloMessage): void {
		if (hello.term > this.#state.term && !this.#faults.ignoreReplicationLoss) {
			this.#logger.warn({replica: hello.name, term: hello.term}, 'replica has a newer term; stepping down as primary');
			this.#state.raise(hello.term, '');
		}

		if (this.#state.role !== InstanceRole.Primary || hello.term > this.#state.term) {
			this.#send(socket, {kind: 'refused', term: this.#state.term});
			socket.end();
			return;
		}

		const prefix = this.#state.log.getCommonPrefix(hello.marks, hello.lastIndex);
		const follower: Follower = {socket, index: prefix.index, markCount: prefix.markCount};
		this.#followers.set(socket, follower);
		this.#send(socket, {kind: 'start', term: this.#state.term, ...prefix});
		this.#sendRecords(follower);
	}

	#sendRecords(follower: Follower): void {
		while (follower.socket.writableLength < maximumBufferedBytes) {
			const records = this.#state.log.getRecords(follower.index, follower.markCount, maximumEntriesPerMessage);
			if (records.length === 0) {
				return;
			}

			for (const record of records) {
				if (record.kind === 'entry') {
					follower.index = record.index;
				} else {
					follower.markCount++;
				}
			}

			this.#sendBatch(follower.socket, records);
		}
	}

	/** Sends records in as many messages as the frame size limit requires. A single record always fits into one. */
	#sendBatch(socket: Socket, records: readonly LogRecord[]): void {
		const frame = encodeFrame({kind: 'records', term: this.#state.term, records} satisfies PrimaryMessage);
		if (frame.length > maximumFrameBytes && records.length > 1) {
			const middle = Math.ceil(records.length / 2);
			this.#sendBatch(socket, records.slice(0, middle));
			this.#sendBatch(socket, records.slice(middle));
		} else if (socket.writable) {
			socket.write(frame);
		}
	}

	#send(socket: Socket, message: PrimaryMessage): void {
		if (socket.writable) {
			socket.write(encodeFrame(message));
		}
	}

	#disconnectFollowers(): void {
		for (const socket of this.#followers.keys()) {
			socket.destroy();
		}

		this.#followers.clear();
	}
}
