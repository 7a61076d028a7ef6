import {type Socket} from 'node:net';
import {encodeFrame, FrameDecoder} from '@tarragonstack/core/codec/frame-codec';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {err, ok, type Result} from 'neverthrow';
import {type GatewayReport} from '../request/instance-capacity.js';
import {type StatementOrigin} from '../request/statement-origin.js';
import {type StatementResult} from '../request/statement-result.js';
import {maximumRelayBytes, parseRelayResponse, type RelayRequest, RelayRequestKind, type RelayResponse, RelayResponseKind, type RelayUrgency} from './relay-messages.js';
import {ChannelFailure, type ChannelError, type InstanceStatus, type UpstreamChannel, type UpstreamStatement} from './upstream-channel.js';

type PendingRequest = {
	readonly resolve: (outcome: Result<RelayResponse, ChannelError>) => void;
	readonly deadline: Disposable;
};

/**
 * Channel to an instance through a gateway. The gateway runs each batch, or each transaction, on one of its pooled
 * connections.
 */
export class RelayChannel implements UpstreamChannel {
	/** @inheritdoc */
	onClose: (() => void) | undefined;
	/** Called with the monotonic time of a request to which the gateway did not respond in time. */
	onTimeout: ((sentAt: number) => void) | undefined;
	/** Called when a message of the gateway arrives. */
	onReceive: (() => void) | undefined;
	/** @inheritdoc */
	readonly gateway: string;
	/** @inheritdoc */
	gatewayReport: GatewayReport | undefined;
	readonly #socket: Socket;
	readonly #timer: TimerService;
	readonly #decoder = new FrameDecoder(maximumRelayBytes);
	#closed = false;
	#isGatewayLeaving = false;
	#isInTransaction = false;
	#lastReceivedAt: number;
	#pending: PendingRequest | undefined;

	/**
	 * @param socket - Connection to the gateway.
	 * @param timer - Monotonic clock.
	 * @param gateway - Name of the gateway.
	 */
	constructor(socket: Socket, timer: TimerService, gateway: string) {
		this.gateway = gateway;
		this.#socket = socket;
		this.#timer = timer;
		this.#lastReceivedAt = timer.now();
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', error => {
			this.#fail({failure: ChannelFailure.Broken, message: error.message});
		});
		socket.on('close', () => {
			this.#fail({failure: ChannelFailure.Broken, message: 'the gateway closed the connection'});
		});
	}

	/** Whether the channel is no longer usable. While a gateway shuts down, only an open transaction can continue. */
	get closed(): boolean {
		return this.#closed || this.#isDrained;
	}

	/**
	 * Monotonic time of the last response from the instance, or of the last message that says that it responds to others while a
	 * request waits; a refusal by the gateway does not count.
	 */
	get lastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	/**
	 * Requests access to the gateway's connections to an instance.
	 *
	 * @param instance - Identifier of the instance.
	 * @param deadline - Monotonic time after which the channel is closed.
	 */
	async open(instance: string, deadline: number): Promise<Result<true, ChannelError>> {
		const outcome = await this.#sendRequest({kind: RelayRequestKind.Open, instance, acceptsWaiting: true}, deadline);
		return outcome.andThen(response => this.#requireKind(response, RelayResponseKind.Opened)).map(() => true);
	}

	/** @inheritdoc */
	async run(batch: readonly UpstreamStatement[], deadline: number, origin?: StatementOrigin): Promise<Result<StatementResult[], ChannelError>> {
		const outcome = await this.#sendRequest({
			kind: RelayRequestKind.Run, batch: [...batch], timeout: deadline - this.#timer.now(), ...(origin && {urgency: this.#createUrgency(origin)}),
		}, deadline);
		return outcome.andThen(response => this.#requireKind(response, RelayResponseKind.Results)).andThen(({results, report}) => {
			this.gatewayReport = report;
			if (results.length === batch.length) {
				this.#isInTransaction = results.at(-1)?.status !== TransactionStatus.Idle;
				return ok(results as StatementResult[]);
			}

			return err(this.#fail({failure: ChannelFailure.Protocol, message: 'the gateway returned an unexpected number of results'}));
		});
	}

	/** @inheritdoc */
	async readStatus(deadline: number): Promise<Result<InstanceStatus, ChannelError>> {
		const outcome = await this.#sendRequest({kind: RelayRequestKind.ReadStatus, timeout: deadline - this.#timer.now()}, deadline);
		return outcome.andThen(response => this.#requireKind(response, RelayResponseKind.Status)).map(({status}) => status);
	}

	/** Always fails: gateways do not relay demotions, because the promoter connects to the instances directly. */
	async demote(): Promise<Result<InstanceStatus, ChannelError>> {
		return err({failure: ChannelFailure.NotRelayed, message: 'gateways do not relay demotions'});
	}

	[Symbol.dispose](): void {
		this.#fail({failure: ChannelFailure.Broken, message: 'the host closed the connection'});
	}

	get #isDrained(): boolean {
		return this.#isGatewayLeaving && !this.#pending && !this.#isInTransaction;
	}

	#createUrgency({request, reign, workspace, workspacePriority}: StatementOrigin): RelayUrgency {
		const now = this.#timer.now();
		return {
			priority: request.priority, waited: now - request.arrivedAt, onTimeFor: request.onTimeUntil - now, givenUpAfter: request.deadline - now,
			...(reign !== undefined && {reign}), ...(workspace !== undefined && {workspace}),
			...(workspacePriority !== undefined && {workspacePriority}),
		};
	}

	async #sendRequest(message: RelayRequest, deadline: number): Promise<Result<RelayResponse, ChannelError>> {
		if (this.#closed) {
			return err({failure: ChannelFailure.NotRelayed, message: 'the connection to the gateway is closed'});
		}

		const sentAt = this.#timer.now();
		return new Promise(resolve => {
			this.#pending = {
				resolve,
				deadline: this.#timer.schedule(deadline - sentAt, () => {
					this.onTimeout?.(sentAt);
					this.#fail({failure: ChannelFailure.TimedOut, message: 'no response from the gateway in time'});
				}),
			};
			this.#socket.write(encodeFrame(message));
		});
	}

	#receive(chunk: Buffer): void {
		this.onReceive?.();
		const frames = this.#decoder.push(chunk);
		if (frames.isErr()) {
			this.#fail({failure: ChannelFailure.Protocol, message: frames.error});
			return;
		}

		for (const frame of frames.value) {
			const response = parseRelayResponse(frame);
			if (response.isErr()) {
				this.#fail({failure: ChannelFailure.Protocol, message: response.error});
				return;
			}

			this.#handle(response.value);
		}
	}

	#handle(response: RelayResponse): void {
		if (response.kind === RelayResponseKind.Leaving) {
			this.#isGatewayLeaving = true;
		} else if (response.kind === RelayResponseKind.Waiting) {
			this.#lastReceivedAt = this.#timer.now();
		} else if (this.#pending) {
			const {resolve, deadline} = this.#pending;
			this.#pending = undefined;
			deadline[Symbol.dispose]();
			resolve(ok(response));
		}

		// Only an idle channel of a pool has an `onClose` listener; the pool closes one in use when it is released.
		if (this.#isDrained && this.onClose) {
			this[Symbol.dispose]();
		}
	}

	/** Returns a response of the expected kind; any other response closes the channel. */
	#requireKind<Kind extends RelayResponseKind>(response: RelayResponse, kind: Kind): Result<Extract<RelayResponse, {kind: Kind}>, ChannelError> {
		if (response.kind === kind) {
			this.#lastReceivedAt = this.#timer.now();
			return ok(response as Extract<RelayResponse, {kind: Kind}>);
		}

		if (response.kind === RelayResponseKind.Refused && response.returnAfter !== undefined) {
			return err({failure: ChannelFailure.Overloaded, message: response.reason, returnAfter: response.returnAfter});
		}

		if (response.kind === RelayResponseKind.Refused) {
			return err(this.#fail({failure: ChannelFailure.NotRelayed, message: `the gateway refused: ${response.reason}`}));
		}

		return err(this.#fail(response.kind === RelayResponseKind.Failed
			? {failure: response.failure, message: response.reason}
			: {failure: ChannelFailure.Protocol, message: `unexpected response ${response.kind}`}));
	}

	#fail(error: ChannelError): ChannelError {
		if (!this.#closed) {
			this.#closed = true;
			this.#socket.destroy();
			const pending = this.#pending;
			this.#pending = undefined;
			pending?.deadline[Symbol.dispose]();
			pending?.resolve(err(error));
			this.onClose?.();
		}

		return error;
	}
}
