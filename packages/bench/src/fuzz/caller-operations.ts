import {getErrorCode} from '../load/index.js';
import {Effect, getEffectOfError} from './effect.js';
import {WriteKind, type History, type WriteRecord} from './history.js';
import {Invariant} from './invariant.js';
import {type SessionCaller} from './session-caller.js';

/** Number of rows of the table `counters`, which must exist before the first append. */
export const counterCount = 8;

/** Maximum number of attempts with one idempotency key. */
const maximumAttemptsPerKey = 4;

/** Counts of completed operations, for the coverage report. */
export type OperationCounts = {
	answeredReads: number;
	refusedReads: number;
	resends: number;
	duplicatesSuppressed: number;
};

/** Sends the requests of callers. Each operation records its outcome in the history and checks its response. */
export class CallerOperations {
	readonly counts: OperationCounts = {
		answeredReads: 0, refusedReads: 0, resends: 0, duplicatesSuppressed: 0,
	};

	/** @param history - Test oracle that records the writes. */
	constructor(readonly history: History) {}

	/**
	 * Inserts a row and checks that the response contains its key.
	 *
	 * @param caller - Caller.
	 */
	async insert(caller: SessionCaller): Promise<WriteRecord> {
		const owner = getOwnerName(caller);
		const record = this.history.begin(WriteKind.Insert, owner, caller.group);
		await this.#attempt(record, async () => {
			const {rows} = await caller.query('INSERT INTO items (id, owner) VALUES ($1, $2) RETURNING id', [record.token, owner]);
			this.#checkResult(record.token, rows.map(({id}) => id), [record.token]);
		});
		return record;
	}

	/**
	 * Appends a token to a counter, without an idempotency key. The request is never retried.
	 *
	 * @param caller - Caller.
	 * @param counter - Number of the counter.
	 */
	async append(caller: SessionCaller, counter: number): Promise<void> {
		const record = this.history.begin(WriteKind.Append, getOwnerName(caller), caller.group);
		await this.#attempt(record, async () => {
			const {rowCount} = await caller.query(createAppendStatement(record.token, counter));
			this.#checkResult(record.token, [rowCount], [1]);
		});
	}

	/**
	 * Appends a token with an idempotency key. Retries the request through other hosts until it succeeds, and then sends it
	 * once more.
	 *
	 * @param callers - Callers at different hosts.
	 * @param counter - Number of the counter.
	 */
	async appendWithKey(callers: readonly SessionCaller[], counter: number): Promise<void> {
		const record = this.history.begin(WriteKind.Append, getOwnerName(callers[0]!), callers[0]!.group);
		const statement = `${createAppendStatement(record.token, counter)} /*idempotency_key='${record.token}'*/`;
		let mayHaveExecuted = false;
		let remaining = maximumAttemptsPerKey;
		for (let index = 0; remaining > 0; index++) {
			const wasAcknowledged = record.effect === Effect.Acknowledged;
			remaining = wasAcknowledged ? 0 : remaining - 1;
			this.counts.resends += index === 0 ? 0 : 1;
			const effect = await this.#attempt(record, async () => {
				const {rowCount} = await callers[index % callers.length]!.query(statement);
				this.#checkResult(record.token, [rowCount], [1]);
			});
			this.counts.duplicatesSuppressed += effect === Effect.Acknowledged && mayHaveExecuted ? 1 : 0;
			mayHaveExecuted ||= effect !== Effect.None;
			if (wasAcknowledged) {
				record.effect = Effect.Acknowledged;
			} else if (effect === Effect.None && mayHaveExecuted) {
				// Only this attempt was refused. An earlier one may have taken effect.
				record.effect = Effect.Unknown;
			}
		}
	}

	/**
	 * Writes two rows in a transaction, with a read between them.
	 *
	 * @param caller - Caller.
	 * @param end - Whether to commit the transaction, roll it back, or abandon it by closing the connection.
	 */
	async writePair(caller: SessionCaller, end: 'COMMIT' | 'ROLLBACK' | 'close' = 'COMMIT'): Promise<void> {
		const record = this.history.begin(WriteKind.Pair, getOwnerName(caller), caller.group);
		let commitSent = false;
		try {
			await caller.query('BEGIN');
			await caller.query('INSERT INTO pairs (id, owner) VALUES ($1, $2)', [`${record.token}/a`, record.owner]);
			const probe = this.history.createToken();
			const {rows} = await caller.query(`SELECT '${probe}' AS probe`);
			this.#checkResult(probe, rows.map(row => row.probe), [probe]);
			await caller.query('INSERT INTO pairs (id, owner) VALUES ($1, $2)', [`${record.token}/b`, record.owner]);
			if (end === 'close') {
				record.effect = Effect.None;
				caller.close();
				return;
			}

			commitSent = end === 'COMMIT';
			const {command} = await caller.query(end);
			record.responses.push(command);
			record.effect = end === 'COMMIT' && command === 'COMMIT' ? Effect.Acknowledged : Effect.None;
		} catch (error) {
			record.responses.push(getErrorCode(error));
			// If COMMIT was not sent, the database rolls back, regardless of the outcome of the statements.
			record.effect = commitSent ? getEffectOfError(error) : Effect.None;
			if (caller.isConnected) {
				caller.close();
			}
		}
	}

	/**
	 * Reads the rows of the caller's session and checks that all acknowledged ones are present.
	 *
	 * @param caller - Caller.
	 * @param allowsStaleReads - Whether to use a rank that permits stale reads, which must still show the session's own writes.
	 */
	async readOwnWrites(caller: SessionCaller, allowsStaleReads = false): Promise<void> {
		const owner = getOwnerName(caller);
		const expected = this.history.getAcknowledged(WriteKind.Insert, owner);
		// Without a session identifier, the session ends with its connection, which may have been replaced since the writes.
		const comment = allowsStaleReads && caller.session !== undefined ? ' /*rank=\'least\'*/' : '';
		await this.#countRead(async () => {
			const {rows} = await caller.query(`SELECT id, owner FROM items WHERE owner = $1${comment}`, [owner]);
			const found = new Set(rows.map(({id}) => id));
			const missing = expected.filter(token => !found.has(token));
			if (missing.length > 0) {
				this.history.report(Invariant.ReadYourWrites, `${caller.host}: a read of session ${owner} lacks its writes ${missing.join(', ')}`);
			}

			if (rows.some(row => row.owner !== owner)) {
				this.history.report(Invariant.ResponseMatchesRequest, `${caller.host}: a read of ${owner} returned rows of ${rows.map(row => row.owner).join(', ')}`);
			}
		});
	}

	/**
	 * Reads both rows of a completed or running transaction and checks that either none or both are visible.
	 *
	 * @param caller - Caller.
	 * @param token - Token of the transaction.
	 */
	async readPair(caller: SessionCaller, token: string): Promise<void> {
		await this.#countRead(async () => {
			const {rows} = await caller.query(`SELECT id FROM pairs WHERE id IN ('${token}/a', '${token}/b')`);
			if (rows.length === 1) {
				this.history.report(Invariant.TransactionIsolation, `${caller.host}: a read shows ${rows[0]!.id} without the other row of its transaction`);
			}
		});
	}

	/**
	 * Selects a unique constant, which any instance can serve, and checks that it is returned.
	 *
	 * @param caller - Caller.
	 * @param allowsStaleReads - Whether to use a rank that permits stale reads.
	 */
	async readConstant(caller: SessionCaller, allowsStaleReads = false): Promise<void> {
		const token = this.history.createToken();
		await this.#countRead(async () => {
			const {rows} = await caller.query(`SELECT '${token}' AS value${allowsStaleReads ? ' /*rank=\'least\'*/' : ''}`);
			this.#checkResult(token, rows.map(({value}) => value), [token]);
		});
	}

	async #countRead(run: () => Promise<void>): Promise<void> {
		try {
			await run();
			this.counts.answeredReads++;
		} catch {
			this.counts.refusedReads++;
		}
	}

	async #attempt(record: WriteRecord, run: () => Promise<void>): Promise<Effect> {
		let effect = Effect.Acknowledged;
		try {
			await run();
			record.responses.push('answered');
		} catch (error) {
			effect = getEffectOfError(error);
			record.responses.push(`${getErrorCode(error)}${error instanceof Error ? ` ${error.message}` : ''}`);
		}

		record.effect = effect;
		return effect;
	}

	#checkResult(token: string, actual: readonly unknown[], expected: readonly unknown[]): void {
		if (JSON.stringify(actual) !== JSON.stringify(expected)) {
			this.history.report(Invariant.ResponseMatchesRequest, `the request with ${token} was answered with ${JSON.stringify(actual)}`);
		}
	}
}

function getOwnerName(caller: SessionCaller): string {
	return caller.session ?? `connection-${caller.host}`;
}

function createAppendStatement(token: string, counter: number): string {
	return `UPDATE counters SET value = value || '${token};' WHERE id = 'counter-${counter}'`;
}
