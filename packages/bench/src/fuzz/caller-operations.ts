import {getErrorCode} from '../load/index.js';
import {Effect, getEffectOfError} from './effect.js';
import {WriteKind, type History, type WriteRecord} from './history.js';
import {Invariant} from './invariant.js';
import {type SessionCaller} from './session-caller.js';

/** Rows of the table `counters`, created before the first append. */
export const counterCount = 8;

/** Attempts with one idempotency key. */
const maximumAttemptsPerKey = 4;

/** What the callers have done so far, for the coverage. */
export type OperationCounts = {
	answeredReads: number;
	refusedReads: number;
	resends: number;
	duplicatesSuppressed: number;
};

/** Requests of callers. Each notes in the history what its caller was told, and checks the answer. */
export class CallerOperations {
	readonly counts: OperationCounts = {
		answeredReads: 0, refusedReads: 0, resends: 0, duplicatesSuppressed: 0,
	};

	/** @param history - Oracle. */
	constructor(readonly history: History) {}

	/**
	 * Inserts a row and checks that the answer names it.
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
	 * Appends a token to a counter. Without a key, the request is never sent again.
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
	 * Appends a token with an idempotency key, and sends the request again through other hosts until it is answered, and
	 * once more after that.
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
				// The refusal concerns this attempt only.
				record.effect = Effect.Unknown;
			}
		}
	}

	/**
	 * Writes two rows in a transaction, with a read in between.
	 *
	 * @param caller - Caller.
	 * @param end - Whether the transaction is committed, rolled back, or left by closing the connection.
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
			// Without COMMIT the database rolls back, whatever became of the statements.
			record.effect = commitSent ? getEffectOfError(error) : Effect.None;
			if (caller.isConnected) {
				caller.close();
			}
		}
	}

	/**
	 * Reads the rows of the caller's session. All acknowledged ones must be there.
	 *
	 * @param caller - Caller.
	 * @param allowsStaleReads - Whether the contract permits staleness, which must not hide the session's own writes.
	 */
	async readOwnWrites(caller: SessionCaller, allowsStaleReads = false): Promise<void> {
		const owner = getOwnerName(caller);
		const expected = this.history.getAcknowledged(WriteKind.Insert, owner);
		// Without a session identifier the session is the connection, which may have been replaced since the writes.
		const comment = allowsStaleReads && caller.session !== undefined ? ' /*rank=\'least\'*/' : '';
		await this.#countRead(async () => {
			const {rows} = await caller.query(`SELECT id, owner FROM items WHERE owner = $1${comment}`, [owner]);
			const found = new Set(rows.map(({id}) => id));
			const missing = expected.filter(token => !found.has(token));
			if (missing.length > 0) {
				this.history.report(Invariant.ReadYourWrites, `${caller.host}: session ${owner} misses ${missing.join(', ')}`);
			}

			if (rows.some(row => row.owner !== owner)) {
				this.history.report(Invariant.ResponseMatchesRequest, `${caller.host}: a read of ${owner} returned rows of ${rows.map(row => row.owner).join(', ')}`);
			}
		});
	}

	/**
	 * Reads both rows of a transaction that has ended or is running. Either none or both must be there.
	 *
	 * @param caller - Caller.
	 * @param token - Token of the transaction.
	 */
	async readPair(caller: SessionCaller, token: string): Promise<void> {
		await this.#countRead(async () => {
			const {rows} = await caller.query(`SELECT id FROM pairs WHERE id IN ('${token}/a', '${token}/b')`);
			if (rows.length === 1) {
				this.history.report(Invariant.TransactionIsolation, `${caller.host}: a read shows ${rows[0]!.id} without its other half`);
			}
		});
	}

	/**
	 * Reads a unique constant, at any instance.
	 *
	 * @param caller - Caller.
	 * @param allowsStaleReads - Whether the contract permits staleness.
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

	#checkResult(token: string, found: readonly unknown[], expected: readonly unknown[]): void {
		if (JSON.stringify(found) !== JSON.stringify(expected)) {
			this.history.report(Invariant.ResponseMatchesRequest, `the request with ${token} was answered with ${JSON.stringify(found)}`);
		}
	}
}

function getOwnerName(caller: SessionCaller): string {
	return caller.session ?? `connection-${caller.host}`;
}

function createAppendStatement(token: string, counter: number): string {
	return `UPDATE counters SET value = value || '${token};' WHERE id = 'counter-${counter}'`;
}
