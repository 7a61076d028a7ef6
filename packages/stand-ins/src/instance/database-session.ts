import {type Socket} from 'node:net';
import {once} from 'node:events';
import {TransactionStatus} from '@tarragonstack/core';
import {BufferReader} from 'pg-protocol/dist/buffer-reader.js';
import {backendMessages} from './backend-messages.js';
import {type InstanceFaults} from './instance-options.js';
import {SqlError} from './sql-error.js';
import {StatementKind, type Statement, type Value} from './sql-statement.js';
import {type ResultColumn, type StatementExecutor, type StatementResult} from './statement-executor.js';
import {parseStatements} from './statement-parser.js';
import {type Transaction} from './transaction.js';

/** Number of queued messages above which the session pauses reading from its connection. */
const maximumQueuedMessages = 1000;

/** Size of a message header: the type byte and the length. */
const messageHeaderBytes = 5;

type PreparedStatement = {
	readonly statement: Statement;
	readonly parameterTypes: readonly number[];
};

type Portal = {
	readonly statement: Statement;
	readonly parameters: readonly Value[];
	/** Rows left over from an earlier Execute message with a row limit. */
	remainingResult?: StatementResult;
};

/** Returns the highest parameter number in a query. */
function countParameters(sql: string): number {
	return Math.max(0, ...[...sql.matchAll(/\$(?<number>\d+)/gv)].map(match => Number(match.groups!.number)));
}

function toSqlError(error: unknown): SqlError {
	return error instanceof SqlError ? error : new SqlError('XX000', error instanceof Error ? error.message : String(error));
}

/** Session of an authenticated client. Reads messages and responds to them in order. */
export class DatabaseSession {
	readonly #socket: Socket;
	readonly #executor: StatementExecutor;
	readonly #faults: InstanceFaults;
	readonly #queuedMessages: Buffer[] = [];
	readonly #preparedStatements = new Map<string, PreparedStatement>();
	readonly #portals = new Map<string, Portal>();
	readonly #output: Buffer[] = [];
	#input: Buffer = Buffer.alloc(0);
	#wakeReader: (() => void) | undefined;
	#isClosed = false;
	#transaction: Transaction | undefined;
	#isInTransactionBlock = false;
	#isTransactionFailed = false;
	#skipsUntilSync = false;
	#dropsConnection = false;
	#cancelController = new AbortController();

	readonly #handlers: Readonly<Record<string, (reader: BufferReader, body: Buffer) => Promise<void> | void>> = {
		Q: reader => this.#query(reader.cstring()),
		P: reader => {
			this.#parse(reader);
		},
		B: reader => {
			this.#bind(reader);
		},
		D: reader => {
			this.#describe(reader);
		},
		E: reader => this.#execute(reader),
		C: reader => {
			this.#close(reader);
		},
		H: () => this.#flush(),
		S: () => this.#sync(),
		X: () => {
			this.#socket.end();
		},
	};

	/**
	 * @param socket - Authenticated connection.
	 * @param executor - Executor of the statements.
	 * @param faults - Injected faults.
	 */
	constructor(socket: Socket, executor: StatementExecutor, faults: InstanceFaults) {
		this.#socket = socket;
		this.#executor = executor;
		this.#faults = faults;
	}

	/** Cancels the statement in progress. */
	cancel(): void {
		this.#cancelController.abort();
	}

	/**
	 * Adds a complete message to the queue.
	 *
	 * @param message - Message including its header.
	 */
	enqueueMessage(message: Buffer): void {
		this.#queuedMessages.push(message);
		this.#wakeReader?.();
	}

	/** Serves the connection until it is closed, then rolls back the open transaction. */
	async run(): Promise<void> {
		this.#socket.on('data', (chunk: Buffer) => {
			this.#handleChunk(chunk);
		});
		this.#socket.on('close', () => {
			this.#isClosed = true;
			this.#wakeReader?.();
		});
		this.#isClosed = this.#socket.destroyed;
		while (!this.#isClosed) {
			const message = this.#queuedMessages.shift();
			if (message) {
				await this.#handleMessage(message);
			} else {
				this.#socket.resume();
				await new Promise<void>(resolve => {
					this.#wakeReader = resolve;
				});
			}
		}

		this.#rollback();
	}

	#handleChunk(chunk: Buffer): void {
		this.#input = this.#input.length === 0 ? chunk : Buffer.concat([this.#input, chunk]);
		while (this.#input.length >= messageHeaderBytes) {
			const length = 1 + this.#input.readUInt32BE(1);
			if (this.#input.length < length) {
				break;
			}

			this.enqueueMessage(this.#input.subarray(0, length));
			this.#input = this.#input.subarray(length);
		}

		if (this.#queuedMessages.length > maximumQueuedMessages) {
			this.#socket.pause();
		}
	}

	async #handleMessage(message: Buffer): Promise<void> {
		const code = String.fromCodePoint(message[0]!);
		if (this.#skipsUntilSync && code !== 'S' && code !== 'X') {
			return;
		}

		const handler = this.#handlers[code];
		const reader = new BufferReader();
		reader.setBuffer(messageHeaderBytes, message);
		try {
			if (!handler) {
				throw new SqlError('0A000', `message type "${code}" is not supported`);
			}

			await handler(reader, message);
		} catch (error: unknown) {
			this.#handleError(toSqlError(error));
			this.#skipsUntilSync = true;
		}
	}

	#enqueueResponse(message: Buffer): void {
		this.#output.push(message);
	}

	async #flush(): Promise<void> {
		const bytes = Buffer.concat(this.#output);
		this.#output.length = 0;
		if (this.#dropsConnection) {
			this.#socket.destroy();
			return;
		}

		if (bytes.length > 0 && !this.#socket.destroyed && !this.#socket.write(bytes)) {
			await Promise.race([once(this.#socket, 'drain'), once(this.#socket, 'close')]).catch(() => {});
		}
	}

	get #status(): TransactionStatus {
		if (!this.#isInTransactionBlock) {
			return TransactionStatus.Idle;
		}

		return this.#isTransactionFailed ? TransactionStatus.Failed : TransactionStatus.InTransaction;
	}

	#handleError(error: SqlError): void {
		if (this.#isInTransactionBlock) {
			this.#isTransactionFailed = true;
			if (this.#transaction) {
				this.#executor.rollback(this.#transaction);
				this.#transaction = undefined;
			}
		} else {
			this.#rollback();
		}

		this.#enqueueResponse(backendMessages.error(error, 'ERROR'));
	}

	#rollback(): void {
		if (this.#transaction) {
			this.#executor.rollback(this.#transaction);
		}

		this.#transaction = undefined;
		this.#isInTransactionBlock = false;
		this.#isTransactionFailed = false;
		this.#portals.clear();
	}

	#commit(): void {
		const transaction = this.#transaction;
		this.#transaction = undefined;
		this.#isInTransactionBlock = false;
		this.#isTransactionFailed = false;
		if (transaction && this.#executor.commit(transaction) && this.#faults.dropAfterWrites > 0) {
			this.#faults.dropAfterWrites--;
			this.#dropsConnection = true;
		}
	}

	async #runStatement(statement: Statement, parameters: readonly Value[]): Promise<StatementResult> {
		if (this.#isTransactionFailed && statement.kind !== StatementKind.Rollback && statement.kind !== StatementKind.Commit) {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}

		if (statement.kind === StatementKind.Commit || statement.kind === StatementKind.Rollback) {
			return this.#endTransaction(statement.kind);
		}

		this.#transaction ??= this.#executor.begin();
		if (statement.kind === StatementKind.Begin) {
			this.#isInTransactionBlock = true;
			return {rows: [], tag: 'BEGIN'};
		}

		this.#cancelController = new AbortController();
		return this.#executor.execute(statement, {transaction: this.#transaction, parameters, signal: this.#cancelController.signal});
	}

	#endTransaction(kind: StatementKind.Commit | StatementKind.Rollback): StatementResult {
		if (kind === StatementKind.Rollback || this.#isTransactionFailed) {
			this.#rollback();
			return {rows: [], tag: 'ROLLBACK'};
		}

		this.#commit();
		return {rows: [], tag: 'COMMIT'};
	}

	async #query(sql: string): Promise<void> {
		try {
			const statements = parseStatements(sql);
			for (const [index, statement] of statements.entries()) {
				if (statement.kind === StatementKind.Empty) {
					this.#enqueueResponse(backendMessages.emptyQueryResponse());
					continue;
				}

				const result = await this.#runStatement(statement, []);
				// Outside a transaction block, the statements of a query commit together, before the last one is reported as complete.
				if (index === statements.length - 1 && !this.#isInTransactionBlock) {
					this.#commit();
				}

				this.#enqueueResult(result);
			}
		} catch (error: unknown) {
			this.#handleError(toSqlError(error));
		}

		this.#enqueueResponse(backendMessages.readyForQuery(this.#status));
		await this.#flush();
	}

	#enqueueResult(result: StatementResult): void {
		if (result.columns) {
			this.#enqueueResponse(backendMessages.rowDescription(result.columns));
		}

		this.#enqueueRows(result);
	}

	#enqueueRows(result: StatementResult): void {
		for (const row of result.rows) {
			this.#enqueueResponse(backendMessages.dataRow(row));
		}

		this.#enqueueResponse(backendMessages.commandComplete(result.tag));
	}

	#parse(reader: BufferReader): void {
		const name = reader.cstring();
		const sql = reader.cstring();
		const statements = parseStatements(sql);
		if (statements.length > 1) {
			throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
		}

		const givenCount = reader.int16();
		const givenTypes = Array.from({length: givenCount}, () => reader.uint32());
		const textType = 25;
		const parameterTypes = Array.from({length: Math.max(givenCount, countParameters(sql))}, (_, index) => givenTypes[index] === 0 ? textType : givenTypes[index] ?? textType);
		if (name !== '' && this.#preparedStatements.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		this.#preparedStatements.set(name, {statement: statements[0]!, parameterTypes});
		this.#enqueueResponse(backendMessages.parseComplete());
	}

	#getPreparedStatement(name: string): PreparedStatement {
		const prepared = this.#preparedStatements.get(name);
		if (!prepared) {
			throw new SqlError('26000', `prepared statement "${name}" does not exist`);
		}

		return prepared;
	}

	#getPortal(name: string): Portal {
		const portal = this.#portals.get(name);
		if (!portal) {
			throw new SqlError('34000', `portal "${name}" does not exist`);
		}

		return portal;
	}

	#bind(reader: BufferReader): void {
		const portalName = reader.cstring();
		const prepared = this.#getPreparedStatement(reader.cstring());
		const formats = Array.from({length: reader.int16()}, () => reader.int16());
		const parameters = Array.from({length: reader.int16()}, (_, index): Value => {
			const length = reader.int32();
			if (length < 0) {
				return null;
			}

			const bytes = reader.bytes(length);
			const isBinary = (formats.length === 1 ? formats[0] : formats[index]) === 1;
			return isBinary ? String.raw`\x${bytes.toString('hex')}` : bytes.toString('utf8');
		});
		if (parameters.length !== prepared.parameterTypes.length) {
			throw new SqlError('08P01', `bind message supplies ${parameters.length} parameters, but the statement requires ${prepared.parameterTypes.length}`);
		}

		this.#portals.set(portalName, {statement: prepared.statement, parameters});
		this.#enqueueResponse(backendMessages.bindComplete());
	}

	#describe(reader: BufferReader): void {
		const isPortal = String.fromCodePoint(reader.byte()) === 'P';
		const name = reader.cstring();
		let statement: Statement;
		if (isPortal) {
			({statement} = this.#getPortal(name));
		} else {
			const prepared = this.#getPreparedStatement(name);
			({statement} = prepared);
			this.#enqueueResponse(backendMessages.parameterDescription(prepared.parameterTypes));
		}

		const columns: readonly ResultColumn[] | undefined = this.#executor.describe(statement);
		this.#enqueueResponse(columns ? backendMessages.rowDescription(columns) : backendMessages.noData());
	}

	async #execute(reader: BufferReader): Promise<void> {
		const portal = this.#getPortal(reader.cstring());
		const limit = reader.int32();
		if (portal.statement.kind === StatementKind.Empty) {
			this.#enqueueResponse(backendMessages.emptyQueryResponse());
			return;
		}

		const result = portal.remainingResult ?? await this.#runStatement(portal.statement, portal.parameters);
		if (limit > 0 && result.rows.length > limit) {
			portal.remainingResult = {...result, rows: result.rows.slice(limit)};
			for (const row of result.rows.slice(0, limit)) {
				this.#enqueueResponse(backendMessages.dataRow(row));
			}

			this.#enqueueResponse(backendMessages.portalSuspended());
			return;
		}

		this.#enqueueRows(result);
	}

	#close(reader: BufferReader): void {
		const isPortal = String.fromCodePoint(reader.byte()) === 'P';
		const name = reader.cstring();
		(isPortal ? this.#portals : this.#preparedStatements).delete(name);
		this.#enqueueResponse(backendMessages.closeComplete());
	}

	async #sync(): Promise<void> {
		this.#skipsUntilSync = false;
		if (!this.#isInTransactionBlock) {
			try {
				this.#commit();
			} catch (error: unknown) {
				this.#handleError(toSqlError(error));
			}

			this.#portals.clear();
		}

		this.#enqueueResponse(backendMessages.readyForQuery(this.#status));
		await this.#flush();
	}
}
