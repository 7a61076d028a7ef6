import {TransactionStatus, type TimerService} from '@tarragonstack/core';
import {serializeQueries} from '../request/scheduling/idempotency-statements.js';
import {type Semaphore} from '../request/scheduling/semaphore.js';
import {HoldMode, type ConnectionPool, type StatementConnection} from '../request/scheduling/statement-connection.js';

/** Time limit of the rollback of an abandoned transaction, after which its connection is closed, in milliseconds. */
const rollbackTimeoutMilliseconds = 1000;

/** Open explicit transaction with the connection reserved for it. */
export type HeldTransaction = {
	readonly identifier: string;
	readonly connection: StatementConnection;
	/** Settles when the last submitted unit has ended. The units of a transaction run sequentially. */
	tail: Promise<void>;
	isEnded: boolean;
};

/** Open transactions of one instance. Each one holds a connection and a permit. */
export class TransactionTable {
	readonly #transactions = new Map<string, HeldTransaction>();
	readonly #pool: ConnectionPool;
	readonly #transactionSemaphore: Semaphore;
	readonly #timerService: TimerService;

	constructor(pool: ConnectionPool, transactionSemaphore: Semaphore, timerService: TimerService) {
		this.#pool = pool;
		this.#transactionSemaphore = transactionSemaphore;
		this.#timerService = timerService;
	}

	get size(): number {
		return this.#transactions.size;
	}

	/** Identifiers of the open transactions. */
	get identifiers(): readonly string[] {
		return [...this.#transactions.keys()];
	}

	/**
	 * Registers an open transaction, which takes ownership of the connection and the permit.
	 *
	 * @param identifier - Identifier of the transaction.
	 * @param connection - Connection on which it is open.
	 */
	add(identifier: string, connection: StatementConnection): HeldTransaction {
		const transaction: HeldTransaction = {
			identifier, connection, tail: Promise.resolve(), isEnded: false,
		};
		this.#transactions.set(identifier, transaction);
		return transaction;
	}

	/**
	 * Returns an open transaction.
	 *
	 * @param identifier - Identifier of the transaction.
	 */
	get(identifier: string): HeldTransaction | undefined {
		return this.#transactions.get(identifier);
	}

	/**
	 * Removes a transaction and releases its connection and its permit.
	 *
	 * @param transaction - Transaction whose last unit ended with the status "idle", or whose connection is lost.
	 */
	end(transaction: HeldTransaction): void {
		if (transaction.isEnded) {
			return;
		}

		transaction.isEnded = true;
		this.#transactions.delete(transaction.identifier);
		this.#transactionSemaphore.release();
		this.#pool.release(transaction.connection);
	}

	/**
	 * Cancels the unit in progress, rolls back the transaction and releases its connection.
	 *
	 * @param transaction - Transaction to abandon.
	 */
	async abandon(transaction: HeldTransaction): Promise<void> {
		if (transaction.isEnded || this.#transactions.get(transaction.identifier) !== transaction) {
			return;
		}

		// No further unit can start once the entry is removed.
		this.#transactions.delete(transaction.identifier);
		void transaction.connection.cancel();
		const timer = this.#timerService.schedule(rollbackTimeoutMilliseconds, () => {
			transaction.connection.close();
		});
		await transaction.tail;
		timer[Symbol.dispose]();
		await this.rollBack(transaction);
	}

	/**
	 * Rolls back a transaction and releases its connection.
	 *
	 * @param transaction - Transaction without a unit in progress.
	 */
	async rollBack(transaction: HeldTransaction): Promise<void> {
		if (transaction.isEnded) {
			return;
		}

		const {connection} = transaction;
		const timer = this.#timerService.schedule(rollbackTimeoutMilliseconds, () => {
			connection.close();
		});
		const outcome = await connection.run(serializeQueries('ROLLBACK'), {
			sink: {async write() {}}, hiddenParseCompletes: [], holdMode: HoldMode.Completion,
		});
		timer[Symbol.dispose]();
		if (outcome.transactionStatus !== TransactionStatus.Idle) {
			connection.close();
		}

		this.end(transaction);
	}
}
