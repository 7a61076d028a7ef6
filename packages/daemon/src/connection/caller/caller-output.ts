import {once} from 'node:events';
import {type Socket} from 'node:net';
import {type TimerService} from '@tarragonstack/core';
import {corkUntilNextTurn} from '../cork-until-next-turn.js';

/** Options of the output to a caller. */
export type CallerOutputOptions = {
	readonly socket: Socket;
	readonly timerService: TimerService;
	/** Aborted when the connection ends; further bytes are discarded. */
	readonly ended: AbortSignal;
	/** Time after which a caller that does not read its response is disconnected, in milliseconds. */
	readonly stallTimeoutMilliseconds: number;
};

/** Writes to the socket of a caller with backpressure. */
export class CallerOutput {
	readonly #options: CallerOutputOptions;

	/**
	 * @param options - Socket, timers and stall timeout.
	 */
	constructor(options: CallerOutputOptions) {
		this.#options = options;
	}

	/**
	 * Writes messages.
	 *
	 * @param bytes - One or more complete messages.
	 * @returns A promise that resolves when the socket accepts more bytes, or when the connection has ended.
	 */
	async write(bytes: Uint8Array): Promise<void> {
		const {socket, timerService, ended, stallTimeoutMilliseconds} = this.#options;
		corkUntilNextTurn(socket);
		if (ended.aborted || socket.write(bytes)) {
			return;
		}

		// An unread response occupies a connection and a slot of the upstream that other callers need.
		using _stall = timerService.schedule(stallTimeoutMilliseconds, () => {
			socket.destroy();
		});
		try {
			await once(socket, 'drain', {signal: ended});
		} catch {
			// The connection ended while the send buffer was full. The signal also informs the executor and the connection's task.
		}
	}
}
