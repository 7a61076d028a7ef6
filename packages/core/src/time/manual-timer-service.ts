import {type TimerService} from './timer-service.js';

type ScheduledCall = {
	time: number;
	readonly intervalMilliseconds?: number;
	readonly callback: () => void;
};

/** Timer service for tests, whose time advances only when `advance` is called. */
export class ManualTimerService implements TimerService {
	#now = 0;
	readonly #calls = new Set<ScheduledCall>();

	/** @inheritdoc */
	now(): number {
		return this.#now;
	}

	/** @inheritdoc */
	async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				scheduled[Symbol.dispose]();
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const scheduled = this.schedule(milliseconds, finish);
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	/** @inheritdoc */
	subscribe(intervalMilliseconds: number, callback: (now: number) => void): Disposable {
		return this.#add({
			time: this.#now + intervalMilliseconds,
			intervalMilliseconds,
			callback: () => {
				callback(this.#now);
			},
		});
	}

	/** @inheritdoc */
	schedule(delayMilliseconds: number, callback: () => void): Disposable {
		return this.#add({time: this.#now + Math.max(0, delayMilliseconds), callback});
	}

	/**
	 * Advances the time, runs the scheduled calls that become due in order, and lets pending promises continue after each.
	 *
	 * @param milliseconds - Duration by which the time advances.
	 */
	async advance(milliseconds: number): Promise<void> {
		const end = this.#now + milliseconds;
		await this.#flushPromises();
		for (let call = this.#getNext(end); call; call = this.#getNext(end)) {
			this.#now = Math.max(this.#now, call.time);
			if (call.intervalMilliseconds === undefined) {
				this.#calls.delete(call);
			} else {
				call.time += call.intervalMilliseconds;
			}

			call.callback();
			await this.#flushPromises();
		}

		this.#now = end;
		await this.#flushPromises();
	}

	#add(call: ScheduledCall): Disposable {
		this.#calls.add(call);
		return {
			[Symbol.dispose]: () => {
				this.#calls.delete(call);
			},
		};
	}

	#getNext(end: number): ScheduledCall | undefined {
		let next: ScheduledCall | undefined;
		for (const call of this.#calls) {
			if (call.time <= end && (!next || call.time < next.time)) {
				next = call;
			}
		}

		return next;
	}

	async #flushPromises(): Promise<void> {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
