import {once} from 'node:events';
import {type Socket} from 'node:net';
import {type TimerService} from '@tarragonstack/core';
import {corkUntilNextTurn} from '../cork-until-next-turn.js';

/** Options of the output to a caller. */
export type CallerOutputOptions = {
	readonly socket: Socket;
	readonly timerService: TimerService;
	/** Aborted when the connection ended; later bytes are discarded. */
	readonly ended: AbortSignal;
	/** Time after which a caller that reads nothing is disconnected, in milliseconds. */
	readonly stallTimeoutMilliseconds: number;
};

/** Writes to the socket of a caller and waits while the caller does not read. */
export class CallerOutput {
	readonly #options: CallerOutputOptions;

	/**
	 * @param options - Socket and limits.
	 */
	constructor(options: CallerOutputOptions) {
		this.#options = options;
	}

	/**
	 * Writes bytes.
	 *
	 * @param bytes - Whole messages.
	 * @returns A promise that resolves when the socket can take more, or when the connection ended.
	 */
	async write(bytes: Uint8Array): Promise<void> {
		const {socket, timerService, ended, stallTimeoutMilliseconds} = this.#options;
		corkUntilNextTurn(socket);
		if (ended.aborted || socket.write(bytes)) {
			return;
		}

		// The unread response holds a connection and a slot upstream, which other callers need.
		using _stall = timerService.schedule(stallTimeoutMilliseconds, () => {
			socket.destroy();
		});
		try {
			await once(socket, 'drain', {signal: ended});
		} catch {
			// The connection ended while the socket was full. The signal tells the executor and the connection's task.
		}
	}
}
