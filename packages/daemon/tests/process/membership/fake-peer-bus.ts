import {
	createLogger, ManualTimerService, Verdict, type TimerService,
} from '@tarragonstack/core';
import {err, ok} from 'neverthrow';
import {
	PeerConnectionEvent, type PeerCallOptions, type PeerConnectionEventListener, type PeerHandler, type PeerMessageKind, type PeerNetwork,
} from '../../../src/index.js';

export const logger = createLogger({host: 'test'});

/** Timer service of one host that can simulate a blocked event loop. */
export class PausableTimerService implements TimerService {
	#skipped = 0;

	constructor(private readonly inner: ManualTimerService) {}

	now(): number {
		return this.inner.now() + this.#skipped;
	}

	async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
		return this.inner.sleep(milliseconds, signal);
	}

	subscribe(intervalMilliseconds: number, callback: (now: number) => void): Disposable {
		return this.inner.subscribe(intervalMilliseconds, callback);
	}

	schedule(delayMilliseconds: number, callback: () => void): Disposable {
		return this.inner.schedule(delayMilliseconds, callback);
	}

	/** Advances the time of this host without firing its timers. */
	block(milliseconds: number): void {
		this.#skipped += milliseconds;
	}
}

type MessageFilter = (from: string, to: string) => boolean;

/** Connects the hosts of a test without sockets. Messages can be lost in either direction. */
export class FakePeerBus {
	/** Delay before each message is handled, in milliseconds. */
	delayMilliseconds = 0;
	readonly timerService = new ManualTimerService();
	readonly #handlers = new Map<string, Map<PeerMessageKind, PeerHandler>>();
	readonly #listeners = new Map<string, PeerConnectionEventListener>();

	/** Selects messages that are lost. Their caller waits until its time limit. */
	isLost: MessageFilter = () => false;

	connect(name: string): PeerNetwork & {subscribeToConnectionEvents(listener: PeerConnectionEventListener): Disposable} {
		const handlers = new Map<PeerMessageKind, PeerHandler>();
		this.#handlers.set(name, handlers);
		return {
			call: async (host, kind, body, options) => this.#call(name, host, kind, {body, options}),
			notify() {},
			handle(kind, handler) {
				handlers.set(kind, handler);
			},
			subscribeToConnectionEvents: listener => {
				this.#listeners.set(name, listener);
				return {[Symbol.dispose]() {}};
			},
		};
	}

	remove(name: string): void {
		this.#handlers.delete(name);
	}

	report(name: string, peer: string, event: PeerConnectionEvent): void {
		this.#listeners.get(name)?.(peer, event);
	}

	async #call(from: string, to: string, kind: PeerMessageKind, {body, options}: {body: unknown; options: PeerCallOptions}) {
		if (!this.#handlers.has(to)) {
			this.report(from, to, PeerConnectionEvent.Refused);
			return err({verdict: Verdict.NotRun, message: 'refused'});
		}

		const handler = this.#handlers.get(to)?.get(kind);
		if (this.isLost(from, to) || !handler) {
			await this.timerService.sleep(options.timeoutMilliseconds);
			return err({verdict: Verdict.MayHaveRun, message: 'no reply'});
		}

		if (this.delayMilliseconds > 0) {
			await this.timerService.sleep(this.delayMilliseconds);
		}

		const reply = await handler(structuredClone(body), {peer: from, signal: new AbortController().signal, async write() {}});
		if (this.isLost(to, from)) {
			await this.timerService.sleep(options.timeoutMilliseconds);
			return err({verdict: Verdict.MayHaveRun, message: 'no reply'});
		}

		return ok(structuredClone(reply));
	}
}
