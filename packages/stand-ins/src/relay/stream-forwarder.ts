import {performance} from 'node:perf_hooks';
import {type Socket} from 'node:net';
import {type Effect} from './rule.js';

/** Bytes that one direction of a connection holds before it stops to read (back pressure). */
const maximumQueuedBytes = 262_144;

type QueuedChunk = {
	readonly due: number;
	/** Nothing stands for the end of the stream. */
	readonly chunk: Buffer | undefined;
};

/** What a direction reports. */
export type DirectionHandlers = {
	readonly onReset: () => void;
	readonly onBytes: (bytes: number) => void;
};

/** Carries the bytes of one direction of a connection, with delay and partition. */
export class Direction {
	readonly #from: Socket;
	readonly #to: Socket;
	readonly #onReset: () => void;
	readonly #onBytes: (bytes: number) => void;
	readonly #queue: QueuedChunk[] = [];
	#queuedBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#effect: Effect;
	#remainingBytes: number;

	/**
	 * @param from - Socket that is read.
	 * @param to - Socket that is written.
	 * @param effect - Present effect of the rules.
	 * @param handlers - `onReset` is called when the reset threshold is reached, `onBytes` for the bytes that are read.
	 */
	constructor(from: Socket, to: Socket, effect: Effect, handlers: DirectionHandlers) {
		this.#from = from;
		this.#to = to;
		this.#effect = effect;
		this.#remainingBytes = effect.resetAfterResponseBytes ?? Infinity;
		this.#onReset = handlers.onReset;
		this.#onBytes = handlers.onBytes;
		from.on('data', (chunk: Buffer) => {
			this.#onBytes(chunk.length);
			this.#take(chunk);
		});
		from.on('end', () => {
			this.#take(undefined);
		});
		to.on('drain', () => {
			this.#pump();
		});
	}

	/**
	 * Changes the effect of the rules. Bytes that are already queued keep their due time.
	 *
	 * @param value - New effect.
	 */
	setEffect(value: Effect): void {
		if (value.resetAfterResponseBytes !== this.#effect.resetAfterResponseBytes) {
			this.#remainingBytes = value.resetAfterResponseBytes ?? Infinity;
		}

		this.#effect = value;
		this.#pump();
	}

	/** Drops all queued bytes. */
	close(): void {
		clearTimeout(this.#timer);
		this.#queue.length = 0;
	}

	#take(chunk: Buffer | undefined): void {
		if (this.#queue.length === 0 && this.#effect.delayMilliseconds === 0 && !this.#effect.isPartition) {
			this.#deliver(chunk);
			if (this.#to.writableNeedDrain) {
				this.#from.pause();
			}

			return;
		}

		this.#queue.push({due: performance.now() + this.#effect.delayMilliseconds, chunk});
		this.#queuedBytes += chunk?.length ?? 0;
		if (this.#queuedBytes >= maximumQueuedBytes) {
			this.#from.pause();
		}

		if (this.#timer === undefined) {
			this.#pump();
		}
	}

	#pump(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#effect.isPartition) {
			return;
		}

		const now = performance.now();
		while (this.#queue.length > 0 && !this.#to.writableNeedDrain) {
			const next = this.#queue[0]!;
			// Timers fire up to a millisecond late, so bytes that are due within half a millisecond go now.
			const wait = next.due - now;
			if (wait > 0.5) {
				this.#timer = setTimeout(() => {
					this.#pump();
				}, wait);
				break;
			}

			this.#queue.shift();
			this.#queuedBytes -= next.chunk?.length ?? 0;
			this.#deliver(next.chunk);
		}

		if (this.#queuedBytes < maximumQueuedBytes && !this.#to.writableNeedDrain && this.#from.isPaused()) {
			this.#from.resume();
		}
	}

	#deliver(chunk: Buffer | undefined): void {
		if (chunk === undefined) {
			this.#to.end();
			return;
		}

		if (!this.#to.writable) {
			return;
		}

		if (chunk.length >= this.#remainingBytes) {
			// The part before the threshold reaches the receiver's buffers before the reset.
			this.#to.write(chunk.subarray(0, this.#remainingBytes), () => {
				this.#onReset();
			});
			this.#remainingBytes = Infinity;
			return;
		}

		this.#remainingBytes -= chunk.length;
		this.#to.write(chunk);
	}
}
