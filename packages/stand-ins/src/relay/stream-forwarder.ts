import {performance} from 'node:perf_hooks';
import {type Socket} from 'node:net';
import {type EffectiveRule} from './rule.js';

/** Bytes that one direction of a connection holds before it stops to read (back pressure). */
const maximumQueuedBytes = 262_144;

type QueuedChunk = {
	readonly dueTime: number;
	/** Nothing stands for the end of the stream. */
	readonly chunk: Buffer | undefined;
};

/** What a direction reports. */
export type StreamForwarderHandlers = {
	readonly onReset: () => void;
	readonly onBytes: (bytes: number) => void;
};

/** Carries the bytes of one direction of a connection, with delay and partition. */
export class StreamForwarder {
	readonly #from: Socket;
	readonly #to: Socket;
	readonly #onReset: () => void;
	readonly #onBytes: (bytes: number) => void;
	readonly #queue: QueuedChunk[] = [];
	#queuedBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#rule: EffectiveRule;
	#bytesUntilReset: number;

	/**
	 * @param from - Socket that is read.
	 * @param to - Socket that is written.
	 * @param rule - Present effect of the rules.
	 * @param handlers - `onReset` is called when the reset threshold is reached, `onBytes` for the bytes that are read.
	 */
	constructor(from: Socket, to: Socket, rule: EffectiveRule, handlers: StreamForwarderHandlers) {
		this.#from = from;
		this.#to = to;
		this.#rule = rule;
		this.#bytesUntilReset = rule.resetAfterResponseBytes ?? Infinity;
		this.#onReset = handlers.onReset;
		this.#onBytes = handlers.onBytes;
		from.on('data', (chunk: Buffer) => {
			this.#onBytes(chunk.length);
			this.#forward(chunk);
		});
		from.on('end', () => {
			this.#forward(undefined);
		});
		to.on('drain', () => {
			this.#drainQueue();
		});
	}

	/**
	 * Changes the effect of the rules. Bytes that are already queued keep their due time.
	 *
	 * @param value - New effect.
	 */
	setRule(value: EffectiveRule): void {
		if (value.resetAfterResponseBytes !== this.#rule.resetAfterResponseBytes) {
			this.#bytesUntilReset = value.resetAfterResponseBytes ?? Infinity;
		}

		this.#rule = value;
		this.#drainQueue();
	}

	/** Drops all queued bytes. */
	close(): void {
		clearTimeout(this.#timer);
		this.#queue.length = 0;
	}

	#forward(chunk: Buffer | undefined): void {
		if (this.#queue.length === 0 && this.#rule.delayMilliseconds === 0 && !this.#rule.isPartition) {
			this.#write(chunk);
			if (this.#to.writableNeedDrain) {
				this.#from.pause();
			}

			return;
		}

		this.#queue.push({dueTime: performance.now() + this.#rule.delayMilliseconds, chunk});
		this.#queuedBytes += chunk?.length ?? 0;
		if (this.#queuedBytes >= maximumQueuedBytes) {
			this.#from.pause();
		}

		if (this.#timer === undefined) {
			this.#drainQueue();
		}
	}

	#drainQueue(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#rule.isPartition) {
			return;
		}

		const now = performance.now();
		while (this.#queue.length > 0 && !this.#to.writableNeedDrain) {
			const next = this.#queue[0]!;
			// Timers fire up to a millisecond late, so bytes that are due within half a millisecond go now.
			const wait = next.dueTime - now;
			if (wait > 0.5) {
				this.#timer = setTimeout(() => {
					this.#drainQueue();
				}, wait);
				break;
			}

			this.#queue.shift();
			this.#queuedBytes -= next.chunk?.length ?? 0;
			this.#write(next.chunk);
		}

		if (this.#queuedBytes < maximumQueuedBytes && !this.#to.writableNeedDrain && this.#from.isPaused()) {
			this.#from.resume();
		}
	}

	#write(chunk: Buffer | undefined): void {
		if (chunk === undefined) {
			this.#to.end();
			return;
		}

		if (!this.#to.writable) {
			return;
		}

		if (chunk.length >= this.#bytesUntilReset) {
			// The part before the threshold reaches the receiver's buffers before the reset.
			this.#to.write(chunk.subarray(0, this.#bytesUntilReset), () => {
				this.#onReset();
			});
			this.#bytesUntilReset = Infinity;
			return;
		}

		this.#bytesUntilReset -= chunk.length;
		this.#to.write(chunk);
	}
}
