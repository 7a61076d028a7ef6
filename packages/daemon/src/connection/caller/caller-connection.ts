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
import {answerLocally} from './local-responder.js';
import {PreparedStatements} from './prepared-statements.js';
import {createRequest, type PreparedRequest} from './request-factory.js';
import {recordRequest} from './request-metrics.js';
import {ResponseWriter} from './response-writer.js';
import {buildExtendedUnit, buildSimpleUnit, type UnitContext} from './unit-builder.js';
import {planUnit, type UnitPlan} from './unit-plan.js';
import {type Unit} from './unit.js';

/** Time within which a caller must complete its login, in milliseconds. */
const loginTimeoutMilliseconds = 10_000;
/** Time that a caller has to read the last message before the socket is destroyed, in milliseconds. */
const lingerMilliseconds = 1000;

/** What a caller connection needs. */
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
	/** Counts a connection of a customer; undefined when the contract permits no more. */
	readonly admit: (contract: Contract) => Disposable | undefined;
};

/** Whether the connection goes on after a message. */
enum Next {
	Continue,
	Close,
}

/** Connection of one caller: one sequential task from login to the end. */
export class CallerConnection {
	readonly #options: CallerConnectionOptions;
	readonly #reader: FrontendMessageReader;
	#socket: Socket;
	#output: CallerOutput;
	#login?: LoginResult;
	#admission?: Disposable;
	readonly #statements = new PreparedStatements();
	#portals: ReadonlyMap<string, SqlAnalysis> = new Map();
	/** Messages of the unit that Sync or Flush will end. */
	#pending: FrontendMessage[] = [];
	#pendingBytes = 0;
	/** Set after an error of an extended unit: messages up to Sync are skipped. */
	#isSkipping = false;
	#upstreamStatus = TransactionStatus.Idle;
	/** Set when a statement of an open transaction was refused, so that the rest of the transaction must not run. */
	#hasLocalFailure = false;
	/** Time at which the refusal of a BEGIN was sent, in milliseconds. */
	#beginRefusedAt = -Infinity;
	#transactionGroup?: string;
	#runningRequest?: string;
	#isBusy = true;
	#isDraining = false;
	#isGraceOver = false;
	#closeError?: CallerError;

	readonly #handlers: Readonly<Record<string, (message: FrontendMessage) => Promise<Next>>> = {
		Q: message => this.#serveQuery(message),
		S: () => this.#serveSync(),
		H: () => this.#serveFlush(),
		P: message => this.#collect(message),
		B: message => this.#collect(message),
		D: message => this.#collect(message),
		E: message => this.#collect(message),
		C: message => this.#collect(message),
		F: () => this.#refuseFunctionCall(),
		X: async () => Next.Close,
		// The end of a COPY that was refused may still arrive.
		d: async () => Next.Continue,
		c: async () => Next.Continue,
		f: async () => Next.Continue,
	};

	/**
	 * @param socket - Accepted socket.
	 * @param options - What the connection needs.
	 */
	constructor(socket: Socket, options: CallerConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#reader = new FrontendMessageReader(options.timerService);
		this.#output = this.#createOutput(socket);
	}

	/** Serves the caller until the connection ends. Never rejects. */
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

			await this.#end();
			acceptedSocket.destroy();
			this.#admission?.[Symbol.dispose]();
		}
	}

	/** Closes the connection when it is idle, otherwise after its requests and its transaction. */
	beginDrain(): void {
		this.#isDraining = true;
		this.#closeWhenIdle();
	}

	/** Closes the connection even when a transaction is open. A request in progress is completed first. */
	endGrace(): void {
		this.#isGraceOver = true;
		this.#closeWhenIdle();
	}

	/** Closes the connection at once. */
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
		if (this.#runningRequest !== undefined) {
			this.#options.executor.cancel(this.#runningRequest);
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

			if (!message.value || await this.#serveMessage(message.value) === Next.Close) {
				return;
			}
		}
	}

	async #serveMessage(message: FrontendMessage): Promise<Next> {
		const handler = this.#handlers[message.type];
		if (!handler) {
			return this.#close({code: SqlState.ProtocolViolation, message: `invalid message type ${message.bytes[0] ?? 0}`});
		}

		if (this.#isSkipping && message.type !== 'S' && message.type !== 'X') {
			return Next.Continue;
		}

		return handler(message);
	}

	async #collect(message: FrontendMessage): Promise<Next> {
		this.#pending.push(message);
		this.#pendingBytes += message.bytes.length;
		return this.#pendingBytes <= maximumMessageBytes
			? Next.Continue
			: this.#close({
				code: SqlState.ProgramLimitExceeded,
				message: `the messages before Sync exceed the limit of ${maximumMessageBytes} bytes`,
			});
	}

	async #serveQuery(message: FrontendMessage): Promise<Next> {
		if (this.#pending.length > 0) {
			return this.#close({code: SqlState.ProtocolViolation, message: 'Query message before the Sync of the extended messages'});
		}

		const next = await this.#serveUnit(buildSimpleUnit(message, this.#getUnitContext()));
		this.#statements.set('', undefined);
		return this.#finishUnit(next);
	}

	async #serveSync(): Promise<Next> {
		const messages = this.#takePending();
		const next = messages.length > 0 && !this.#isSkipping ? await this.#serveExtended(messages) : Next.Continue;
		this.#isSkipping = false;
		if (this.#upstreamStatus === TransactionStatus.Idle) {
			this.#portals = new Map();
		}

		return this.#finishUnit(next);
	}

	/** Runs what was collected before Sync. The upstream receives a Sync, whose ReadyForQuery the caller does not receive. */
	async #serveFlush(): Promise<Next> {
		const messages = this.#takePending();
		const hasPortal = messages.some(message => message.type === 'B' || message.type === 'E');
		if (hasPortal && this.#upstreamStatus === TransactionStatus.Idle) {
			// A Sync in the middle would commit the first half of the unit on its own.
			await this.#reject({
				code: SqlState.FeatureNotSupported,
				message: 'Flush after Bind or Execute is not supported outside a transaction',
				hint: 'send Sync, or open a transaction first',
			});
			return Next.Continue;
		}

		return messages.length > 0 ? this.#serveExtended(messages) : Next.Continue;
	}

	async #serveExtended(messages: readonly FrontendMessage[]): Promise<Next> {
		const arrivedAt = messages[0]?.arrivedAt ?? this.#options.timerService.now();
		return this.#serveUnit(buildExtendedUnit(messages, arrivedAt, this.#getUnitContext()));
	}

	async #refuseFunctionCall(): Promise<Next> {
		await this.#reject({code: SqlState.FeatureNotSupported, message: 'FunctionCall is not supported; use SELECT'});
		return this.#finishUnit(Next.Continue);
	}

	/** Serves one unit up to, but without, ReadyForQuery. */
	async #serveUnit(built: Result<Unit, CallerError>): Promise<Next> {
		if (built.isErr()) {
			await this.#reject(built.error);
			return Next.Continue;
		}

		const unit = built.value;
		const plan = planUnit(unit, this.#upstreamStatus !== TransactionStatus.Idle);
		const snapshot = this.#options.configurationStore.getCurrent();
		const contract = snapshot?.getContractOfUser(this.#login?.user ?? '');
		if (!snapshot || !this.#login) {
			await this.#reject({code: SqlState.NoConfiguration, message: 'the host has no configuration'});
		} else if (!contract) {
			return this.#close({code: SqlState.InvalidAuthorization, message: `user "${this.#login.user}" is no longer part of a contract`});
		} else if (plan.refusal !== undefined) {
			await this.#reject({code: SqlState.FeatureNotSupported, message: plan.refusal});
		} else if (this.#hasLocalFailure && !this.#canEndFailure(plan)) {
			await this.#reject({code: SqlState.FailedTransaction, message: 'current transaction is aborted, commands ignored until end of transaction block'});
		} else if (plan.isLocal) {
			await this.#answerLocally(unit, plan, this.#login, contract);
		} else if (unit.arrivedAt <= this.#beginRefusedAt) {
			// The caller sent the unit before it could know that its transaction had not begun.
			await this.#reject({code: SqlState.FailedTransaction, message: 'the transaction of this statement was refused at its BEGIN'});
		} else {
			await this.#execute(unit, plan, this.#login, {snapshot, contract});
		}

		return Next.Continue;
	}

	async #answerLocally(unit: Unit, plan: UnitPlan, login: LoginResult, contract: Contract): Promise<void> {
		const answer = answerLocally(unit, {
			session: login.session,
			contract,
			isFailed: this.#hasLocalFailure || unit.arrivedAt <= this.#beginRefusedAt,
		});
		if (answer.isErr()) {
			await this.#reject(answer.error);
			return;
		}

		for (const change of unit.changes) {
			this.#applyChange(change);
		}

		this.#portals = unit.portals;
		if (plan.endsTransaction) {
			this.#hasLocalFailure = false;
			this.#beginRefusedAt = -Infinity;
		}

		await this.#send(answer.value);
	}

	async #execute(unit: Unit, plan: UnitPlan, login: LoginResult, version: {snapshot: ConfigurationSnapshot; contract: Contract}): Promise<void> {
		const prepared = createRequest(unit, plan, {
			contract: version.contract,
			configurationVersion: version.snapshot.version,
			user: login.user,
			session: login.session,
			...(this.#transactionGroup !== undefined && {transactionGroup: this.#transactionGroup}),
		});
		if (prepared.isErr()) {
			await this.#reject(prepared.error);
			return;
		}

		let acknowledged = 0;
		const sink = new ResponseWriter(this.#output, () => {
			this.#applyChange(unit.changes[acknowledged++]);
		});
		if (prepared.value.usesSessionKey) {
			login.session.clearIdempotencyKey();
		}

		const result = await this.#callExecutor(prepared.value, sink);
		this.#portals = unit.portals;
		this.#isSkipping = !unit.isSimple && sink.hasError;
		await this.#takeResult(result, plan, prepared.value.request);
		const duration = this.#options.timerService.now() - prepared.value.request.arrivedAt;
		recordRequest(this.#options.metrics, prepared.value.request, result, duration);
	}

	async #callExecutor({request, callerSession}: PreparedRequest, sink: ResponseSink): Promise<UpstreamResult> {
		this.#runningRequest = request.requestIdentifier;
		try {
			return await this.#options.executor.execute(request, callerSession, sink, this.#reader.ended);
		} catch (error) {
			// The executor promises not to reject. If it does, the caller must learn that the outcome is unknown.
			this.#options.logger.error({error: String(error), request: request.requestIdentifier}, 'request executor failed');
			return {
				verdict: Verdict.MayHaveRun,
				transactionStatus: TransactionStatus.Idle,
				refusal: {reason: RefusalReason.OutcomeUnknown, message: 'the outcome of the request is unknown'},
			};
		} finally {
			this.#runningRequest = undefined;
		}
	}

	async #takeResult(result: UpstreamResult, plan: UnitPlan, request: CallerRequest): Promise<void> {
		const wasOpen = this.#upstreamStatus !== TransactionStatus.Idle;
		this.#upstreamStatus = result.transactionStatus;
		const isOpen = result.transactionStatus !== TransactionStatus.Idle;
		this.#transactionGroup = isOpen ? request.group : undefined;
		if (!result.refusal) {
			this.#hasLocalFailure &&= !plan.endsTransaction && !plan.returnsToSavepoint;
			return;
		}

		// The rest of a transaction of which a statement was refused must not run, neither in it nor outside it.
		this.#hasLocalFailure = !plan.endsTransaction && (wasOpen || isOpen);
		const {reason, message, retryAfterMilliseconds} = result.refusal;
		this.#isSkipping = true;
		await this.#send(encodeErrorResponse(Severity.Error, {
			code: sqlStates[reason],
			message,
			...(retryAfterMilliseconds !== undefined && {hint: `retry after ${Math.ceil(retryAfterMilliseconds)} ms`}),
		}));
		if (plan.beginsTransaction && !isOpen) {
			this.#beginRefusedAt = this.#options.timerService.now();
		}
	}

	#getUnitContext(): UnitContext {
		return {
			statements: this.#statements,
			portals: this.#portals,
			replaceText: analysis => this.#hasLocalFailure && isCommit(analysis) ? 'ROLLBACK' : analysis.text,
		};
	}

	/** States whether a unit may run in a transaction of which a statement was refused. */
	#canEndFailure(plan: UnitPlan): boolean {
		return plan.isOnlyEnd && (plan.isLocal || this.#upstreamStatus !== TransactionStatus.Idle);
	}

	#applyChange(change: Unit['changes'][number]): void {
		if (change) {
			this.#statements.set(change.name, change.statement);
		}
	}

	/** Refuses a unit of which nothing ran. */
	async #reject(error: CallerError): Promise<void> {
		this.#hasLocalFailure ||= this.#upstreamStatus !== TransactionStatus.Idle;
		this.#isSkipping = true;
		await this.#send(encodeErrorResponse(Severity.Error, error));
	}

	/** Sends ReadyForQuery, unless a FATAL error is to follow. */
	async #finishUnit(next: Next): Promise<Next> {
		this.#isSkipping = false;
		if (next === Next.Continue) {
			await this.#sendReady();
		}

		return next;
	}

	async #sendReady(): Promise<void> {
		await this.#send(encodeReadyForQuery(this.#hasLocalFailure ? TransactionStatus.Failed : this.#upstreamStatus));
	}

	async #send(bytes: Buffer): Promise<void> {
		await this.#output.write(bytes);
	}

	#takePending(): FrontendMessage[] {
		const messages = this.#pending;
		this.#pending = [];
		this.#pendingBytes = 0;
		return messages;
	}

	#close(error: CallerError): Next {
		this.#closeError = error;
		return Next.Close;
	}

	#closeWhenIdle(): void {
		const isLoggedIn = this.#login !== undefined;
		const isIdle = !this.#isBusy && this.#pending.length === 0 && this.#reader.bufferedBytes === 0
			&& this.#upstreamStatus === TransactionStatus.Idle && !this.#hasLocalFailure;
		const mayClose = !isLoggedIn || isIdle || (this.#isGraceOver && !this.#isBusy);
		if (this.#isDraining && mayClose) {
			this.#closeError ??= {code: SqlState.AdministratorShutdown, message: 'terminating connection because the host is stopping'};
			this.#reader.close();
		}
	}

	/** Sends the reason of the end, if there is one, and gives the caller a moment to read it. */
	async #end(): Promise<void> {
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
		// Unread bytes would turn the close into a reset, which can destroy the message on its way.
		socket.resume();
		const closed = new AbortController();
		socket.once('close', () => {
			closed.abort();
		});
		await this.#options.timerService.sleep(lingerMilliseconds, closed.signal);
		socket.destroy();
	}
}

function isCommit(analysis: SqlAnalysis): boolean {
	return analysis.statements.length === 1 && analysis.statements[0]?.statementClass === StatementClass.Commit;
}
