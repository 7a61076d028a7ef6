import {type Socket} from 'node:net';
import {encodeFrame, FrameDecoder} from '@tarragonstack/core/codec/frame-codec';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type StatementResult} from '../request/statement-result.js';
import {getStatementClass} from '../request/statement-class.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {statusPriority, type WaitingRequest} from '../request/waiting-request.js';
import {AcquireFailure, overloadedReason} from './connection-queue.js';
import {type InstanceResponse} from './capacity-recorder.js';
import {type InstancePool} from './instance-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {maximumRelayBytes, parseRelayRequest, type RelayRequest, RelayRequestKind, type RelayResponse, RelayResponseKind, type RelayUrgency} from './relay-messages.js';
import {rollBackAndRelease} from './roll-back-and-release.js';
import {StatementProgress, runStatement} from './run-statement.js';
import {ChannelFailure, SessionCommand, type UpstreamStatement} from './upstream-channel.js';

/** Instance whose connections a gateway makes available. */
export type RelayTarget = {
	readonly pool: InstancePool;
	/** Whether the host takes the place of a gateway, to which the other hosts return when it works again. */
	readonly isSubstitute?: boolean;
	/** Returns whether the primary of a reign may be used. */
	isReignCurrent(reign: number): boolean;
};

/**
 * Time after which hosts are asked to leave a substitute, in milliseconds. They avoid a failed gateway for half as long, and
 * try it first when they connect again.
 */
const substitutionMilliseconds = 2000;

/**
 * Interval at which a host is told that its request waits while the instance responds to others, in milliseconds. A host that
 * hears nothing for 180 ms opens a connection to check the instance. Without these messages, 69 hosts whose statements wait at
 * gateways would check it up to five times a second each, and occupy 4 slots with that (12 ms for each connection).
 */
const waitingIntervalMilliseconds = 80;

/**
 * Share of a request's time limit for which it waits for a connection. The refusal must arrive before the host gives up, which
 * would take the gateway for lost.
 */
const waitingShare = 0.85;

/** Host functions that the gateway side of a relay uses. */
export type RelayHost = {
	/** Whether the host is shutting down. */
	readonly isLeaving: boolean;
	/** Returns the direct connections to an instance, or `undefined` if there are none and none may be opened. */
	findRelayTarget(instance: string): RelayTarget | undefined;
};

/** Result of one statement of a batch, or the response that ends the batch. */
type BatchStep = {readonly result: StatementResult} | {readonly response: RelayResponse};

/** Gateway side of a relay: runs the statements of another host on the pooled connections of this host. */
export class RelayServerConnection {
	readonly #socket: Socket;
	readonly #host: RelayHost;
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #decoder = new FrameDecoder(maximumRelayBytes);
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, PreparedDefinition>();
	#target: RelayTarget | undefined;
	/** Connection that is pinned to the open transaction. */
	#pinned: PooledConnection | undefined;
	/** Connection on which a statement is running. */
	#running: PooledConnection | undefined;
	#substitution: Disposable | undefined;
	/** Priority of the latest statement outside a transaction, which is that of the open transaction as well. */
	#priority = 0;
	/** Time that the statements of the present batch waited for a connection, in milliseconds. */
	#waitedMilliseconds = 0;
	#acceptsWaiting = false;
	#isBusy = false;
	#isClosed = false;

	/**
	 * @param socket - Accepted socket.
	 * @param options - Host and services.
	 */
	constructor(socket: Socket, {host, timer, log}: {host: RelayHost; timer: TimerService; log: EventLog}) {
		this.#socket = socket;
		this.#host = host;
		this.#timer = timer;
		this.#log = log;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', error => {
			log.write('relay-failed', {from: socket.remoteAddress, reason: error.message});
		});
		socket.on('close', () => {
			this.#handleClose();
		});
	}

	/** Whether a request is running or a transaction is open. */
	get isBusy(): boolean {
		return this.#isBusy || this.#pinned !== undefined;
	}

	/** Notifies the other host that this one is shutting down. */
	announceLeaving(): void {
		this.#send({kind: RelayResponseKind.Leaving});
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.#socket.destroy();
	}

	#receive(chunk: Buffer): void {
		const frames = this.#decoder.push(chunk);
		if (frames.isErr()) {
			this.#reject(frames.error);
			return;
		}

		for (const frame of frames.value) {
			const request = parseRelayRequest(frame);
			if (request.isErr() || this.#isBusy) {
				this.#reject(request.isErr() ? request.error : 'received a request before the previous one was answered');
				return;
			}

			void this.#handle(request.value);
		}
	}

	#reject(reason: string): void {
		this.#log.write('relay-failed', {from: this.#socket.remoteAddress, reason});
		this.#socket.destroy();
	}

	async #handle(request: RelayRequest): Promise<void> {
		this.#isBusy = true;
		try {
			this.#send(await this.#executeRequest(request));
		} catch (error) {
			this.#reject(error instanceof Error ? error.stack ?? error.message : String(error));
		}

		this.#isBusy = false;
	}

	async #executeRequest(request: RelayRequest): Promise<RelayResponse> {
		switch (request.kind) {
			case RelayRequestKind.Open: {
				this.#acceptsWaiting = request.acceptsWaiting ?? false;
				this.#target = this.#host.isLeaving ? undefined : this.#host.findRelayTarget(request.instance);
				if (this.#target?.isSubstitute) {
					this.#substitution ??= this.#timer.schedule(substitutionMilliseconds, () => {
						this.announceLeaving();
					});
				}

				return this.#target ? {kind: RelayResponseKind.Opened} : createRefusal('this host has no connections to the instance');
			}

			case RelayRequestKind.Run: {
				return this.#runBatch(request.batch, this.#timer.now() + request.timeout, request.urgency);
			}

			case RelayRequestKind.ReadStatus: {
				return this.#readStatus(this.#timer.now() + request.timeout);
			}
		}
	}

	async #runBatch(batch: readonly UpstreamStatement[], deadline: number, urgency: RelayUrgency | undefined): Promise<RelayResponse> {
		const results: StatementResult[] = [];
		this.#waitedMilliseconds = 0;
		for (const entry of batch) {
			const step = this.#applySessionStatement(entry) ?? await this.#runAtInstance(entry, deadline, urgency);
			if ('response' in step) {
				return step.response;
			}

			results.push(step.result);
		}

		return {
			kind: RelayResponseKind.Results,
			results: results as Extract<RelayResponse, {kind: RelayResponseKind.Results}>['results'],
			report: this.#target?.pool.capacity.createReport(this.#waitedMilliseconds),
		};
	}

	/** Records a change of the session state, which is applied to a connection before its next use; skips other statements. */
	#applySessionStatement(entry: UpstreamStatement): BatchStep | undefined {
		if ('setValue' in entry) {
			this.#values.set(entry.setValue.name, entry.setValue.value);
		} else if ('prepare' in entry) {
			this.#prepared.set(entry.prepare.name, entry.prepare.definition);
		} else if ('command' in entry && entry.command === SessionCommand.Reset) {
			this.#values.clear();
			this.#prepared.clear();
		} else if (!('command' in entry) || this.#pinned) {
			return undefined;
		}

		return {result: {rows: [], completion: '-', status: this.#pinned ? TransactionStatus.InTransaction : TransactionStatus.Idle}};
	}

	async #runAtInstance(entry: UpstreamStatement, deadline: number, urgency: RelayUrgency | undefined): Promise<BatchStep> {
		const target = this.#target;
		if (!target) {
			return {response: createRefusal('no instance was named')};
		}

		const preparedName = 'statement' in entry ? entry.preparedName : undefined;
		const definition = preparedName === undefined ? undefined : this.#prepared.get(preparedName);
		const connection = this.#pinned ?? await this.#acquire(target, urgency, deadline);
		if (typeof connection === 'string') {
			return {response: createRefusal(connection, connection === overloadedReason ? target.pool.returnMilliseconds : undefined)};
		}

		const {pool} = target;
		const sessionSetup = connection.synchronizeSession({values: this.#values}, definition);
		this.#running = connection;
		pool.recordSend(connection);
		const outcome = await runStatement(connection, sessionSetup, entry, {timer: this.#timer, deadline});
		this.#running = undefined;
		if (outcome.progress === StatementProgress.Answered) {
			pool.recordResponse(connection, 'statement' in entry ? this.#createResponse(entry.statement, definition, outcome.result, outcome.sentAt) : undefined);
			this.#pinOrRelease(target, connection, outcome.result.status);
			return {result: outcome.result};
		}

		this.#log.write('relayed-statement-unanswered', {
			request: 'statement' in entry ? entry.statement.identifier : undefined, instance: pool.instance.id, from: this.#socket.remoteAddress,
			sent: outcome.progress === StatementProgress.Unanswered, hostGone: this.#isClosed, reason: outcome.message,
		});
		connection.channel[Symbol.dispose]();
		this.#pinOrRelease(target, connection, TransactionStatus.Idle);
		return {response: outcome.progress === StatementProgress.NotSent
			? createRefusal(outcome.message)
			: {kind: RelayResponseKind.Failed, failure: ChannelFailure.Broken, reason: outcome.message}};
	}

	#createResponse({kind}: Statement, definition: PreparedDefinition | undefined, {error}: StatementResult, sentAt: number): InstanceResponse {
		return {milliseconds: this.#timer.now() - sentAt, statementClass: error ? undefined : getStatementClass(kind, definition?.writes, this.#priority)};
	}

	/** Acquires a connection of the pool, or returns the reason why that failed. */
	async #acquire({pool, isReignCurrent}: RelayTarget, urgency: RelayUrgency | undefined, deadline: number): Promise<PooledConnection | string> {
		if (!urgency) {
			return 'the transaction has ended';
		}

		if (pool.usesGateway) {
			// Hosts with different views of the membership could otherwise relay a statement back and forth.
			return 'this host is no gateway to the instance any more';
		}

		this.#priority = urgency.priority;
		const startedAt = this.#timer.now();
		const {workspace, workspacePriority} = urgency;
		using _reports = this.#reportWaiting(pool);
		const connection = await pool.acquire(this.#createRequest(urgency, deadline), {
			values: this.#values, ...(workspace !== undefined && {workspace}), ...(workspacePriority !== undefined && {workspacePriority}),
		});
		this.#waitedMilliseconds += this.#timer.now() - startedAt;
		if (typeof connection === 'string') {
			return connection === AcquireFailure.Overloaded ? overloadedReason : `the connection is ${connection}`;
		}

		if (this.#isClosed || (urgency.reign !== undefined && !isReignCurrent(urgency.reign))) {
			pool.release(connection);
			return 'the primary is not the one that this host knows';
		}

		return connection;
	}

	/** Tells the other host regularly that its request waits, as long as the instance responds to others. */
	#reportWaiting(pool: InstancePool): Disposable | undefined {
		return this.#acceptsWaiting
			? this.#timer.subscribe(waitingIntervalMilliseconds, now => {
				if (pool.getUnansweredMilliseconds(now) < waitingIntervalMilliseconds) {
					this.#send({kind: RelayResponseKind.Waiting});
				}
			})
			: undefined;
	}

	#createRequest({priority, waited, onTimeFor, givenUpAfter}: RelayUrgency, deadline: number): WaitingRequest {
		const now = this.#timer.now();
		return {priority, arrivedAt: now - waited, onTimeUntil: now + onTimeFor, deadline: now + Math.min(givenUpAfter, (deadline - now) * waitingShare)};
	}

	/** Pins the connection while a transaction is open, and otherwise releases it to its pool. */
	#pinOrRelease({pool}: RelayTarget, connection: PooledConnection, status: TransactionStatus): void {
		const isOpen = status !== TransactionStatus.Idle;
		this.#pinned = isOpen ? connection : undefined;
		if (!isOpen) {
			pool.release(connection);
		} else if (this.#isClosed) {
			this.#rollBackTransaction();
		}
	}

	async #readStatus(deadline: number): Promise<RelayResponse> {
		const target = this.#target;
		if (!target) {
			return createRefusal('no instance was named');
		}

		const now = this.#timer.now();
		const connection = await target.pool.acquire({priority: statusPriority, arrivedAt: now, onTimeUntil: deadline, deadline}, {values: new Map(), acceptsAnyWorkspace: true});
		if (typeof connection === 'string') {
			return createRefusal(`the connection is ${connection}`);
		}

		target.pool.recordSend(connection);
		const status = await connection.channel.readStatus(deadline);
		if (status.isOk()) {
			target.pool.recordResponse(connection);
		}

		target.pool.release(connection);
		return status.isOk()
			? {kind: RelayResponseKind.Status, status: status.value}
			: {kind: RelayResponseKind.Failed, failure: status.error.failure, reason: status.error.message};
	}

	#handleClose(): void {
		this.#isClosed = true;
		this.#substitution?.[Symbol.dispose]();
		// No one waits for the response any more, so the connection to the instance is closed as a direct one would be.
		this.#running?.channel[Symbol.dispose]();
		if (!this.#running) {
			this.#rollBackTransaction();
		}
	}

	/** Rolls back the open transaction and releases its connection. */
	#rollBackTransaction(): void {
		const connection = this.#pinned;
		this.#pinned = undefined;
		if (connection && this.#target) {
			void rollBackAndRelease(connection, this.#target.pool, this.#timer);
		}
	}

	#send(response: RelayResponse): void {
		if (!this.#socket.destroyed) {
			this.#socket.write(encodeFrame(response));
		}
	}
}

function createRefusal(reason: string, returnAfter?: number): RelayResponse {
	return {kind: RelayResponseKind.Refused, reason, ...(returnAfter !== undefined && {returnAfter})};
}
