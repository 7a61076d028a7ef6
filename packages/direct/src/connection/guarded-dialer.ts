import {err, type Result} from 'neverthrow';
import {type EventLog} from '../process/event-log.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {ChannelFailure, type ChannelError, type DialOptions, type DirectDialer, type UpstreamChannel} from './upstream-channel.js';

/** Dialer that turns an unexpected error of another dialer into a failed attempt, so that it does not end the process. */
export class GuardedDialer implements DirectDialer {
	readonly #dialer: DirectDialer;
	readonly #log: EventLog;

	/**
	 * @param dialer - Opens the connections.
	 * @param log - Event log for unexpected errors.
	 */
	constructor(dialer: DirectDialer, log: EventLog) {
		this.#dialer = dialer;
		this.#log = log;
	}

	/** @inheritdoc */
	async dial(instance: InstanceEntry, timeoutMilliseconds: number, options?: DialOptions): Promise<Result<UpstreamChannel, ChannelError>> {
		return this.#guard(instance, async () => this.#dialer.dial(instance, timeoutMilliseconds, options));
	}

	/** @inheritdoc */
	async check(instance: InstanceEntry, timeoutMilliseconds: number): Promise<Result<void, ChannelError>> {
		return this.#guard(instance, async () => this.#dialer.check(instance, timeoutMilliseconds));
	}

	async #guard<Value>(instance: InstanceEntry, connect: () => Promise<Result<Value, ChannelError>>): Promise<Result<Value, ChannelError>> {
		try {
			return await connect();
		} catch (error) {
			this.#log.write('dial-failed-unexpectedly', {instance: instance.id, address: instance.address, reason: error instanceof Error ? error.stack : String(error)});
			return err({failure: ChannelFailure.Broken, message: String(error)});
		}
	}
}
