import {TransactionStatus} from '@tarragonstack/core';
import {HoldMode, type StatementOptions} from '../../request/scheduling/statement-connection.js';
import {BackendMessageType, getCommandTag, getSqlState, maximumMessageBytes} from './backend-message-reader.js';

/**
 * Maximum number of bytes of a write's response that are withheld before its first completion. While nothing has been
 * forwarded, a response that is lost or rejected can be replaced by a refusal.
 */
export const heldPrefixBytes = 65_536;

/** Command tags of statements that may leave session state on a connection, so that it must not be reused. */
const sessionStateTags: ReadonlySet<string> = new Set([
	'SET',
	'RESET',
	'PREPARE',
	'LISTEN',
	'LOAD',
	'DECLARE CURSOR',
	'CREATE TABLE',
	'CREATE TABLE AS',
	'CREATE VIEW',
	'CREATE SEQUENCE',
	'DISCARD ALL',
]);

/** Command tags that confirm that the effects of a transaction are durable. */
const commitTags: ReadonlySet<string> = new Set(['COMMIT', 'PREPARE TRANSACTION', 'COMMIT PREPARED']);

/** Inspects the response of one unit and decides which messages are forwarded, withheld or dropped. */
export class ResponseCollector {
	readonly #options: StatementOptions;
	readonly #hiddenParseCompletes: ReadonlySet<number>;
	/** Handlers by message type. Each returns whether the caller receives the message. */
	readonly #handlers: Readonly<Partial<Record<BackendMessageType, (message: Buffer) => boolean>>> = {
		[BackendMessageType.ReadyForQuery]: message => this.#onReadyForQuery(message),
		[BackendMessageType.ParseComplete]: () => this.#onParseComplete(),
		[BackendMessageType.ParameterStatus]: () => this.#onParameterStatus(),
		[BackendMessageType.NotificationResponse]: () => false,
		[BackendMessageType.CopyInResponse]: () => this.#onCopy(),
		[BackendMessageType.CopyOutResponse]: () => this.#onCopy(),
		[BackendMessageType.CopyBothResponse]: () => this.#onCopy(),
		[BackendMessageType.CommandComplete]: message => this.#onCommandComplete(message),
		[BackendMessageType.EmptyQueryResponse]: () => this.#onCompletionWithoutTag(),
		[BackendMessageType.PortalSuspended]: () => this.#onCompletionWithoutTag(),
		[BackendMessageType.ErrorResponse]: message => this.#onErrorResponse(message),
	};

	readonly #heldMessages: Buffer[] = [];
	#heldBytes = 0;
	#isHolding = false;
	#isPrefixHeld: boolean;
	#parseCompleteCount = 0;
	#readyCount = 0;
	#transactionStatus = TransactionStatus.Idle;
	#sqlState: string | undefined;
	#committed = false;
	#hasChangedSession = false;
	#failure: string | undefined;

	constructor(options: StatementOptions) {
		this.#options = options;
		this.#hiddenParseCompletes = new Set(options.hiddenParseCompletes);
		this.#isPrefixHeld = options.holdMode === HoldMode.Completion;
	}

	/** Whether the last expected ReadyForQuery was received. */
	get isComplete(): boolean {
		return this.#readyCount >= (this.#options.readyCount ?? 1);
	}

	get transactionStatus(): TransactionStatus {
		return this.#transactionStatus;
	}

	get sqlState(): string | undefined {
		return this.#sqlState;
	}

	get committed(): boolean {
		return this.#committed;
	}

	get hasChangedSession(): boolean {
		return this.#hasChangedSession;
	}

	/** Reason why the response cannot be forwarded. */
	get failure(): string | undefined {
		return this.#failure;
	}

	get held(): Buffer {
		return Buffer.concat(this.#heldMessages);
	}

	/**
	 * Processes one message.
	 *
	 * @param message - Whole message.
	 * @param forwarded - Array to which the messages to forward are added.
	 */
	add(message: Buffer, forwarded: Buffer[]): void {
		const handle = this.#handlers[message[0] as BackendMessageType];
		if (!handle || handle(message)) {
			this.#route(message, forwarded);
		}
	}

	#onReadyForQuery(message: Buffer): boolean {
		this.#readyCount++;
		this.#transactionStatus = message.toString('latin1', 5, 6) as TransactionStatus;
		return false;
	}

	#onParseComplete(): boolean {
		const index = this.#parseCompleteCount++;
		return !this.#hiddenParseCompletes.has(index);
	}

	#onParameterStatus(): boolean {
		this.#hasChangedSession = true;
		return false;
	}

	#onCopy(): boolean {
		this.#failure = 'the COPY protocol is not supported';
		return false;
	}

	#onCommandComplete(message: Buffer): boolean {
		const tag = getCommandTag(message);
		const isCommit = commitTags.has(tag);
		this.#hasChangedSession ||= sessionStateTags.has(tag);
		this.#committed ||= isCommit;
		this.#isHolding ||= this.#options.holdMode === HoldMode.Completion
			|| (this.#options.holdMode === HoldMode.Commit && isCommit);
		return true;
	}

	#onCompletionWithoutTag(): boolean {
		this.#isHolding ||= this.#options.holdMode === HoldMode.Completion;
		return true;
	}

	#onErrorResponse(message: Buffer): boolean {
		// After a FATAL error, the server closes the connection instead of sending ReadyForQuery. Withholding the message
		// ensures that the caller receives one error only.
		this.#isHolding = true;
		this.#sqlState ??= getSqlState(message);
		return true;
	}

	#route(message: Buffer, forwarded: Buffer[]): void {
		if (this.#isPrefixHeld && !this.#isHolding && this.#heldBytes + message.length > heldPrefixBytes) {
			this.#isPrefixHeld = false;
			forwarded.push(...this.#heldMessages.splice(0));
			this.#heldBytes = 0;
		}

		if (!this.#isHolding && !this.#isPrefixHeld) {
			forwarded.push(message);
			return;
		}

		this.#heldMessages.push(message);
		this.#heldBytes += message.length;
		if (this.#heldBytes > maximumMessageBytes) {
			this.#failure = `the withheld messages exceed ${maximumMessageBytes} bytes`;
		}
	}
}
