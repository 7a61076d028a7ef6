import {performance} from 'node:perf_hooks';
import {type Socket} from 'node:net';
import {type EffectiveRule} from './rule.js';

/** Number of queued bytes in one direction at which reading from the sender pauses, to apply backpressure. */
const maximumQueuedBytes = 262_144;

type QueuedChunk = {
	readonly dueTime: number;
	/** Received bytes; `undefined` marks the end of the stream. */
	readonly chunk: Buffer | undefined;
};

/** Event handlers of a `StreamForwarder`. */
export type StreamForwarderHandlers = {
	readonly onReset: () => void;
	readonly onBytes: (bytes: number) => void;
};

/** Forwards one direction of a connection and applies delays, partitions and resets. */
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
	#isClosed = false;

	/**
	 * @param from - Socket to read from.
	 * @param to - Socket to write to.
	 * @param rule - Initial rule.
	 * @param handlers - `onReset` is called when the reset threshold is reached, `onBytes` with the size of each chunk read.
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
	 * Replaces the rule. Queued bytes keep their due time.
	 *
	 * @param value - New rule.
	 */
	setRule(value: EffectiveRule): void {
		if (value.resetAfterResponseBytes !== this.#rule.resetAfterResponseBytes) {
			this.#bytesUntilReset = value.resetAfterResponseBytes ?? Infinity;
		}

		this.#rule = value;
		this.#drainQueue();
	}

	/** Discards all queued bytes and forwards nothing from now on. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		this.#queue.length = 0;
	}

	#forward(chunk: Buffer | undefined): void {
		if (this.#isClosed) {
			return;
		}

		const delayMilliseconds = this.#rule.delayMilliseconds + (this.#rule.retransmission?.chooseDelay() ?? 0);
		if (this.#queue.length === 0 && delayMilliseconds === 0 && !this.#rule.isPartition) {
			this.#write(chunk);
			if (this.#to.writableNeedDrain) {
				this.#from.pause();
			}

			return;
		}

		this.#queue.push({dueTime: performance.now() + delayMilliseconds, chunk});
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
			// Timers fire up to 1 ms late, so bytes due within 0.5 ms are sent immediately.
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
			// Writes the bytes below the threshold and resets the connection only after the write completes.
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
