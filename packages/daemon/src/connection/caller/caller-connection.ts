import {type Socket} from 'node:net';
import {
	type Contract, type Logger, type Metrics, RefusalReason, type ResponseSink, sqlStates, type TimerService, TransactionStatus,
	type UpstreamResult, Verdict,
} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {type TlsOptions} from 'pg-gateway';
import {
	type CallerRequest, type CallerSession, type RequestExecutor, type SqlAnalysis, StatementClass,
} from '../../request/index.js';
import {type ConfigurationSnapshot, type ConfigurationStore} from '../../version/index.js';
import {encodeErrorResponse, encodeReadyForQuery, Severity} from './backend-messages.js';
import {type CallerError, SqlState} from './caller-error.js';
import {CallerLogin, type LoginResult} from './caller-login.js';
import {CallerOutput} from './caller-output.js';
import {type CancelKeys} from './cancel-keys.js';
import {FrontendMessageReader, type FrontendMessage, maximumMessageBytes} from './frontend-message-reader.js';
import {respondLocally} from './local-responder.js';
import {PreparedStatements} from './prepared-statements.js';
import {createRequest, type SessionRequest} from './request-factory.js';
import {recordRequest} from './request-metrics.js';
import {ResponseWriter} from './response-writer.js';
import {buildExtendedUnit, buildSimpleUnit, type UnitContext} from './unit-builder.js';
import {planUnit, type UnitPlan} from './unit-plan.js';
import {type StatementUnit} from './statement-unit.js';

/** Timeout of the login, in milliseconds. */
const loginTimeoutMilliseconds = 10_000;
/** Time that the caller has to read the last message and close its side before the socket is destroyed, in milliseconds. */
const lingerMilliseconds = 1000;

/** Options of a caller connection. */
export type CallerConnectionOptions = {
	readonly configurationStore: ConfigurationStore;
	readonly executor: RequestExecutor;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tls?: TlsOptions;
	/** Time after which a caller that does not read its response is disconnected, in milliseconds. */
	readonly stallTimeoutMilliseconds: number;
	readonly cancelKeys: CancelKeys;
	/** Adds a connection to the count of the customer; returns `undefined` if the limit of the contract is reached. */
	readonly admit: (contract: Contract) => Disposable | undefined;
};

/** What the connection does after a message is handled. */
enum ConnectionAction {
	Continue,
	Close,
}

/** Connection of one caller. A single sequential task serves it from the login until it is closed. */
export class CallerConnection {
	readonly #options: CallerConnectionOptions;
	readonly #reader: FrontendMessageReader;
	#socket: Socket;
	#output: CallerOutput;
	#login?: LoginResult;
	#admission?: Disposable;
	readonly #statements = new PreparedStatements();
	#portals: ReadonlyMap<string, SqlAnalysis> = new Map();
	/** Extended-query messages received since the last Sync or Flush. */
	#pendingMessages: FrontendMessage[] = [];
	#pendingBytes = 0;
	/** Set after an error in the extended query protocol: messages are skipped up to the next Sync. */
	#isSkippingToSync = false;
	#upstreamStatus = TransactionStatus.Idle;
	/** Set after a statement of an open transaction is refused: the rest of the transaction must not run. */
	#hasRefusedStatement = false;
	/** Monotonic time at which the last refusal of a BEGIN was sent, in milliseconds. */
	#beginRefusedAt = -Infinity;
	#transactionGroup?: string;
	#runningRequestIdentifier?: string;
	#isBusy = true;
	#isDraining = false;
	#hasGracePeriodEnded = false;
	#closeError?: CallerError;

	readonly #handlers: Readonly<Record<string, (message: FrontendMessage) => Promise<ConnectionAction>>> = {
		Q: message => this.#serveQuery(message),
		S: () => this.#serveSync(),
		H: () => this.#serveFlush(),
		P: message => this.#addPendingMessage(message),
		B: message => this.#addPendingMessage(message),
		D: message => this.#addPendingMessage(message),
		E: message => this.#addPendingMessage(message),
		C: message => this.#addPendingMessage(message),
		F: () => this.#refuseFunctionCall(),
		X: async () => ConnectionAction.Close,
		// After a COPY is refused, its data, end or failure may still arrive.
		d: async () => ConnectionAction.Continue,
		c: async () => ConnectionAction.Continue,
		f: async () => ConnectionAction.Continue,
	};

	/**
	 * @param socket - Accepted socket.
	 * @param options - Services, limits and TLS options.
	 */
	constructor(socket: Socket, options: CallerConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#reader = new FrontendMessageReader(options.timerService);
		this.#output = this.#createOutput(socket);
	}

	/** Serves the caller until the connection is closed. Never rejects. */
	async run(): Promise<void> {
		const {executor, logger} = this.#options;
		const acceptedSocket = this.#socket;
		this.#reader.attach(acceptedSocket);
		try {
			await this.#logIn();
			if (this.#login) {
				await this.#serve();
			}
		} catch (error) {
			logger.error({error: String(error), customer: this.#login?.customer ?? ''}, 'caller connection failed');
		} finally {
			if (this.#login) {
				executor.abandonTransaction(this.#login.session.callerSession);
			}

			await this.#closeGracefully();
			acceptedSocket.destroy();
			this.#admission?.[Symbol.dispose]();
		}
	}

	/** Closes the connection as soon as it is idle: its requests are completed and it has no open transaction. */
	beginDrain(): void {
		this.#isDraining = true;
		this.#closeWhenIdle();
	}

	/** Closes the connection even if a transaction is open. A request in progress is completed first. */
	endGracePeriod(): void {
		this.#hasGracePeriodEnded = true;
		this.#closeWhenIdle();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.#socket.destroy();
		this.#reader.close();
	}

	async #logIn(): Promise<void> {
		const {timerService, cancelKeys, configurationStore, tls, admit} = this.#options;
		const acceptedSocket = this.#socket;
		using _timeout = timerService.schedule(loginTimeoutMilliseconds, () => {
			acceptedSocket.destroy();
		});
		const cancelKey = cancelKeys.issue(() => {
			this.#cancelRunningRequest();
		});
		this.#reader.ended.addEventListener('abort', () => {
			cancelKey[Symbol.dispose]();
		}, {once: true});
		const login = new CallerLogin({
			socket: acceptedSocket,
			reader: this.#reader,
			configurationStore,
			...(tls && {tls}),
			cancelKey: cancelKey.key,
			cancel(key) {
				cancelKeys.cancel(key);
			},
			admit: contract => {
				this.#admission = admit(contract);
				return this.#admission !== undefined;
			},
		});
		this.#login = await login.run();
		this.#socket = login.socket;
		this.#output = this.#createOutput(login.socket);
	}

	#createOutput(socket: Socket): CallerOutput {
		const {timerService, stallTimeoutMilliseconds} = this.#options;
		return new CallerOutput({socket, timerService, stallTimeoutMilliseconds, ended: this.#reader.ended});
	}

	#cancelRunningRequest(): void {
		if (this.#runningRequestIdentifier !== undefined) {
			this.#options.executor.cancel(this.#runningRequestIdentifier);
		}
	}

	async #serve(): Promise<void> {
		for (;;) {
			this.#isBusy = false;
			this.#closeWhenIdle();
			const message = await this.#reader.readMessage(maximumMessageBytes);
			this.#isBusy = true;
			if (message.isErr()) {
				this.#closeError = message.error;
				return;
			}

			if (!message.value || await this.#serveMessage(message.value) === ConnectionAction.Close) {
				return;
			}
		}
	}

	async #serveMessage(message: FrontendMessage): Promise<ConnectionAction> {
		const handler = this.#handlers[message.type];
		if (!handler) {
			return this.#closeWithError({code: SqlState.ProtocolViolation, message: `invalid message type ${message.bytes[0] ?? 0}`});
		}

		if (this.#isSkippingToSync && message.type !== 'S' && message.type !== 'X') {
			return ConnectionAction.Continue;
		}

		return handler(message);
	}

	async #addPendingMessage(message: FrontendMessage): Promise<ConnectionAction> {
		this.#pendingMessages.push(message);
		this.#pendingBytes += message.bytes.length;
		return this.#pendingBytes <= maximumMessageBytes
			? ConnectionAction.Continue
			: this.#closeWithError({
				code: SqlState.ProgramLimitExceeded,
				message: `the messages before Sync exceed the limit of ${maximumMessageBytes} bytes`,
			});
	}

	async #serveQuery(message: FrontendMessage): Promise<ConnectionAction> {
		if (this.#pendingMessages.length > 0) {
			return this.#closeWithError({code: SqlState.ProtocolViolation, message: 'Query message received before the Sync of the preceding extended-query messages'});
		}

		const action = await this.#serveUnit(buildSimpleUnit(message, this.#getUnitContext()));
		this.#statements.set('', undefined);
		return this.#finishUnit(action);
	}

	async #serveSync(): Promise<ConnectionAction> {
		const messages = this.#takePendingMessages();
		const action = messages.length > 0 && !this.#isSkippingToSync ? await this.#serveExtended(messages) : ConnectionAction.Continue;
		this.#isSkippingToSync = false;
		if (this.#upstreamStatus === TransactionStatus.Idle) {
			this.#portals = new Map();
		}

		return this.#finishUnit(action);
	}

	/** Runs the pending messages. The upstream receives a Sync, but its ReadyForQuery is not forwarded to the caller. */
	async #serveFlush(): Promise<ConnectionAction> {
		const messages = this.#takePendingMessages();
		const usesPortal = messages.some(message => message.type === 'B' || message.type === 'E');
		if (usesPortal && this.#upstreamStatus === TransactionStatus.Idle) {
			// The Sync that is sent upstream would commit the first part of the implicit transaction on its own.
			await this.#reject({
				code: SqlState.FeatureNotSupported,
				message: 'Flush after Bind or Execute is not supported outside a transaction',
				hint: 'send Sync, or open a transaction first',
			});
			return ConnectionAction.Continue;
		}

		return messages.length > 0 ? this.#serveExtended(messages) : ConnectionAction.Continue;
	}

	async #serveExtended(messages: readonly FrontendMessage[]): Promise<ConnectionAction> {
		const arrivedAt = messages[0]?.arrivedAt ?? this.#options.timerService.now();
		return this.#serveUnit(buildExtendedUnit(messages, arrivedAt, this.#getUnitContext()));
	}

	async #refuseFunctionCall(): Promise<ConnectionAction> {
		await this.#reject({code: SqlState.FeatureNotSupported, message: 'FunctionCall is not supported; use SELECT'});
		return this.#finishUnit(ConnectionAction.Continue);
	}

	/** Serves one statement unit without sending ReadyForQuery. */
	async #serveUnit(built: Result<StatementUnit, CallerError>): Promise<ConnectionAction> {
		if (built.isErr()) {
			await this.#reject(built.error);
			return ConnectionAction.Continue;
		}

		const unit = built.value;
		const plan = planUnit(unit, this.#upstreamStatus !== TransactionStatus.Idle);
		const snapshot = this.#options.configurationStore.getCurrent();
		const contract = snapshot?.getContractOfUser(this.#login?.user ?? '');
		if (!snapshot || !this.#login) {
			await this.#reject({code: SqlState.NoConfiguration, message: 'the host has no configuration'});
		} else if (!contract) {
			return this.#closeWithError({code: SqlState.InvalidAuthorization, message: `user "${this.#login.user}" is no longer listed in a contract`});
		} else if (plan.refusal !== undefined) {
			await this.#reject({code: SqlState.FeatureNotSupported, message: plan.refusal});
		} else if (this.#hasRefusedStatement && !this.#canRunAfterRefusal(plan)) {
			await this.#reject({code: SqlState.FailedTransaction, message: 'current transaction is aborted, commands ignored until end of transaction block'});
		} else if (plan.isLocal) {
			await this.#respondLocally(unit, plan, this.#login, contract);
		} else if (unit.arrivedAt <= this.#beginRefusedAt) {
			// The unit was sent before the caller could know that the BEGIN of its transaction was refused.
			await this.#reject({code: SqlState.FailedTransaction, message: 'the transaction of this statement did not begin because its BEGIN was refused'});
		} else {
			await this.#execute(unit, plan, this.#login, {snapshot, contract});
		}

		return ConnectionAction.Continue;
	}

	async #respondLocally(unit: StatementUnit, plan: UnitPlan, login: LoginResult, contract: Contract): Promise<void> {
		const response = respondLocally(unit, {
			session: login.session,
			contract,
			isTransactionFailed: this.#hasRefusedStatement || unit.arrivedAt <= this.#beginRefusedAt,
		});
		if (response.isErr()) {
			await this.#reject(response.error);
			return;
		}

		for (const change of unit.changes) {
			this.#applyStatementChange(change);
		}

		this.#portals = unit.portals;
		if (plan.endsTransaction) {
			this.#hasRefusedStatement = false;
			this.#beginRefusedAt = -Infinity;
		}

		await this.#send(response.value);
	}

	async #execute(
		unit: StatementUnit,
		plan: UnitPlan,
		login: LoginResult,
		configuration: {snapshot: ConfigurationSnapshot; contract: Contract},
	): Promise<void> {
		const created = createRequest(unit, plan, {
			contract: configuration.contract,
			configurationVersion: configuration.snapshot.version,
			user: login.user,
			session: login.session,
			...(this.#transactionGroup !== undefined && {transactionGroup: this.#transactionGroup}),
		});
		if (created.isErr()) {
			await this.#reject(created.error);
			return;
		}

		let acknowledgedCount = 0;
		const sink = new ResponseWriter(this.#output, () => {
			this.#applyStatementChange(unit.changes[acknowledgedCount++]);
		});
		if (created.value.usesSessionIdempotencyKey) {
			login.session.clearIdempotencyKey();
		}

		const result = await this.#callExecutor(created.value, sink);
		this.#portals = unit.portals;
		this.#isSkippingToSync = !unit.isSimple && sink.hasError;
		await this.#handleResult(result, plan, created.value.request);
		const duration = this.#options.timerService.now() - created.value.request.arrivedAt;
		recordRequest(this.#options.metrics, created.value.request, result, duration);
	}

	async #callExecutor({request, callerSession}: SessionRequest, sink: ResponseSink): Promise<UpstreamResult> {
		this.#runningRequestIdentifier = request.requestIdentifier;
		try {
			return await this.#options.executor.execute(request, callerSession, sink, this.#reader.ended);
		} catch (error) {
			// Executors must never reject. If one does, the request may have run, so the outcome is reported as unknown.
			this.#options.logger.error({error: String(error), request: request.requestIdentifier}, 'request executor failed');
			return {
				verdict: Verdict.MayHaveRun,
				transactionStatus: TransactionStatus.Idle,
				refusal: {reason: RefusalReason.OutcomeUnknown, message: 'the outcome of the request is unknown'},
			};
		} finally {
			this.#runningRequestIdentifier = undefined;
		}
	}

	async #handleResult(result: UpstreamResult, plan: UnitPlan, request: CallerRequest): Promise<void> {
		const wasInTransaction = this.#upstreamStatus !== TransactionStatus.Idle;
		this.#upstreamStatus = result.transactionStatus;
		const isInTransaction = result.transactionStatus !== TransactionStatus.Idle;
		this.#transactionGroup = isInTransaction ? request.group : undefined;
		if (!result.refusal) {
			this.#hasRefusedStatement &&= !plan.endsTransaction && !plan.returnsToSavepoint;
			return;
		}

		// After a refusal, the remaining statements must not run, either in this transaction or outside it.
		this.#hasRefusedStatement = !plan.endsTransaction && (wasInTransaction || isInTransaction);
		const {reason, message, retryAfterMilliseconds} = result.refusal;
		this.#isSkippingToSync = true;
		await this.#send(encodeErrorResponse(Severity.Error, {
			code: sqlStates[reason],
			message,
			...(retryAfterMilliseconds !== undefined && {hint: `retry after ${Math.ceil(retryAfterMilliseconds)} ms`}),
		}));
		if (plan.beginsTransaction && !isInTransaction) {
			this.#beginRefusedAt = this.#options.timerService.now();
		}
	}

	#getUnitContext(): UnitContext {
		return {
			statements: this.#statements,
			portals: this.#portals,
			replaceText: analysis => this.#hasRefusedStatement && isSingleCommit(analysis) ? 'ROLLBACK' : analysis.text,
		};
	}

	/** Returns whether a unit may run after a statement of its transaction was refused. */
	#canRunAfterRefusal(plan: UnitPlan): boolean {
		return plan.hasOnlyTransactionExits && (plan.isLocal || this.#upstreamStatus !== TransactionStatus.Idle);
	}

	#applyStatementChange(change: StatementUnit['changes'][number]): void {
		if (change) {
			this.#statements.set(change.name, change.statement);
		}
	}

	/** Reports an error for a unit of which nothing was run. */
	async #reject(error: CallerError): Promise<void> {
		this.#hasRefusedStatement ||= this.#upstreamStatus !== TransactionStatus.Idle;
		this.#isSkippingToSync = true;
		await this.#send(encodeErrorResponse(Severity.Error, error));
	}

	/** Sends ReadyForQuery, unless the connection is to be closed with a FATAL error. */
	async #finishUnit(action: ConnectionAction): Promise<ConnectionAction> {
		this.#isSkippingToSync = false;
		if (action === ConnectionAction.Continue) {
			await this.#sendReadyForQuery();
		}

		return action;
	}

	async #sendReadyForQuery(): Promise<void> {
		await this.#send(encodeReadyForQuery(this.#hasRefusedStatement ? TransactionStatus.Failed : this.#upstreamStatus));
	}

	async #send(bytes: Buffer): Promise<void> {
		await this.#output.write(bytes);
	}

	#takePendingMessages(): FrontendMessage[] {
		const messages = this.#pendingMessages;
		this.#pendingMessages = [];
		this.#pendingBytes = 0;
		return messages;
	}

	#closeWithError(error: CallerError): ConnectionAction {
		this.#closeError = error;
		return ConnectionAction.Close;
	}

	#closeWhenIdle(): void {
		const isLoggedIn = this.#login !== undefined;
		const isIdle = !this.#isBusy && this.#pendingMessages.length === 0 && this.#reader.bufferedBytes === 0
			&& this.#upstreamStatus === TransactionStatus.Idle && !this.#hasRefusedStatement;
		const mayClose = !isLoggedIn || isIdle || (this.#hasGracePeriodEnded && !this.#isBusy);
		if (this.#isDraining && mayClose) {
			this.#closeError ??= {code: SqlState.AdministratorShutdown, message: 'terminating connection because the host is stopping'};
			this.#reader.close();
		}
	}

	/** Sends the error that ends the connection, if any, and gives the caller time to read it. */
	async #closeGracefully(): Promise<void> {
		const socket = this.#socket;
		if (socket.destroyed) {
			return;
		}

		if (this.#closeError) {
			socket.end(encodeErrorResponse(Severity.Fatal, this.#closeError));
		} else {
			socket.end();
		}

		this.#reader.close();
		// If the socket is closed with unread bytes, TCP resets the connection, and the last message may be lost.
		socket.resume();
		const closed = new AbortController();
		socket.once('close', () => {
			closed.abort();
		});
		await this.#options.timerService.sleep(lingerMilliseconds, closed.signal);
		socket.destroy();
	}
}

function isSingleCommit(analysis: SqlAnalysis): boolean {
	return analysis.statements.length === 1 && analysis.statements[0]?.statementClass === StatementClass.Commit;
}
