import {readMonotonicMilliseconds} from './monotonic-clock.js';
import {type TimerService} from './timer-service.js';

/** Timer service that uses the monotonic clock of the operating system. */
export class SystemTimerService implements TimerService {
	/** @inheritdoc */
	now(): number {
		return readMonotonicMilliseconds();
	}

	/** @inheritdoc */
	async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(0, milliseconds));
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	/** @inheritdoc */
	subscribe(intervalMilliseconds: number, callback: (now: number) => void): Disposable {
		const timer = setInterval(() => {
			callback(this.now());
		}, intervalMilliseconds);
		return {
			[Symbol.dispose]() {
				clearInterval(timer);
			},
		};
	}

	/** @inheritdoc */
	schedule(delayMilliseconds: number, callback: () => void): Disposable {
		const timer = setTimeout(callback, Math.max(0, delayMilliseconds));
		return {
			[Symbol.dispose]() {
				clearTimeout(timer);
			},
		};
	}
}
