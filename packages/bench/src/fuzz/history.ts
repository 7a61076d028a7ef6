import {Effect} from './effect.js';
import {Invariant, type Violation} from './invariant.js';

/** Kind of a recorded write. */
export enum WriteKind {
	/** Inserts a row into the table `items`, with the token as its key. */
	Insert = 'insert',
	/** Appends the token to a row of the table `counters`. */
	Append = 'append',
	/** Inserts two rows into the table `pairs` in one transaction, with the token and the suffixes `/a` and `/b` as keys. */
	Pair = 'pair',
}

/** Write as its caller observed it. */
export type WriteRecord = {
	readonly token: string;
	readonly kind: WriteKind;
	readonly owner: string;
	readonly group: string;
	effect: Effect;
	/** Responses and errors, in the order of the attempts. */
	readonly responses: string[];
};

type Row = Readonly<Record<string, string | null>>;

type LogChange = {
	readonly table: string;
	readonly key: string;
	readonly row?: Row;
};

/** Tables and replicated log of an instance. */
export type InstanceDump = {
	readonly tables: Readonly<Record<string, readonly Row[]>>;
	readonly log: ReadonlyArray<{readonly kind: string; readonly changes?: readonly LogChange[]}>;
};

/** Test oracle: records which writes were acknowledged, may have been executed, or were refused. */
export class History {
	readonly #records: WriteRecord[] = [];
	readonly #violations: Violation[] = [];
	#nextToken = 1;

	/** @param prefix - Prefix of all tokens, so that several histories can share a fleet. */
	constructor(readonly prefix: string) {}

	/** Violations that were reported while requests ran. */
	get violations(): readonly Violation[] {
		return this.#violations;
	}

	/** All writes. */
	get records(): readonly WriteRecord[] {
		return this.#records;
	}

	/** Returns a new unique token. */
	createToken(): string {
		return `${this.prefix}-${this.#nextToken++}`;
	}

	/**
	 * Records a write before it is sent. Its effect is unknown until its response is recorded.
	 *
	 * @param kind - Kind of the write.
	 * @param owner - Session or caller that sends the write.
	 * @param group - Group of the write.
	 */
	begin(kind: WriteKind, owner: string, group: string): WriteRecord {
		const record: WriteRecord = {
			token: this.createToken(), kind, owner, group, effect: Effect.Unknown, responses: [],
		};
		this.#records.push(record);
		return record;
	}

	/**
	 * Records a violation.
	 *
	 * @param invariant - Violated invariant.
	 * @param message - Description of the violation.
	 */
	report(invariant: Invariant, message: string): void {
		this.#violations.push({invariant, message});
	}

	/**
	 * Returns the tokens of acknowledged writes.
	 *
	 * @param kind - Kind of the writes.
	 * @param owner - Session or caller that sent the writes. If omitted, the writes of all owners are returned.
	 */
	getAcknowledged(kind: WriteKind, owner?: string): string[] {
		return this.#records
			.filter(record => record.kind === kind && record.effect === Effect.Acknowledged && (owner === undefined || record.owner === owner))
			.map(({token}) => token);
	}

	/**
	 * Counts the writes with a given effect.
	 *
	 * @param effect - Effect.
	 */
	count(effect: Effect): number {
		return this.#records.filter(record => record.effect === effect).length;
	}

	/**
	 * Compares the history with the final state of a group.
	 *
	 * @param group - Group.
	 * @param dump - Dump of the primary after all faults have ended.
	 */
	check(group: string, dump: InstanceDump): Violation[] {
		const executions = countExecutions(dump);
		const violations = this.#records
			.filter(record => record.group === group)
			.flatMap(record => checkRecord(record, executions));
		return [...violations, ...this.#checkTransactions(dump)];
	}

	/** Checks by the log entries that each transaction wrote exactly its own rows. */
	#checkTransactions(dump: InstanceDump): Violation[] {
		const violations: Violation[] = [];
		for (const {changes = []} of dump.log) {
			const keys = changes.filter(({table, key}) => table === 'pairs' && key.startsWith(`${this.prefix}-`)).map(({key}) => key);
			if (keys.length > 0 && (changes.length !== 2 || keys[0]!.replace(/\/a$/v, '/b') !== keys[1])) {
				violations.push({invariant: Invariant.TransactionIsolation, message: `one transaction wrote ${changes.map(({table, key}) => `${table}:${key}`).join(', ')}`});
			}

			const items = changes.filter(({table, key}) => table === 'items' && key.startsWith(`${this.prefix}-`));
			if (items.length > 0 && changes.length > 1) {
				violations.push({invariant: Invariant.TransactionIsolation, message: `a single statement ran in a transaction with ${changes.length} changes`});
			}
		}

		return violations;
	}
}

/** Counts how often each token took effect. Each of the two rows of a pair counts as one half. */
function countExecutions({tables}: InstanceDump): ReadonlyMap<string, number> {
	const executions = new Map<string, number>();
	const add = (token: string, amount: number) => {
		executions.set(token, (executions.get(token) ?? 0) + amount);
	};

	for (const {id} of tables.items ?? []) {
		add(id!, 1);
	}

	for (const {id} of tables.pairs ?? []) {
		add(id!.slice(0, -2), 0.5);
	}

	for (const {value} of tables.counters ?? []) {
		for (const token of (value ?? '').split(';').filter(part => part !== '')) {
			add(token, 1);
		}
	}

	return executions;
}

function checkRecord(record: WriteRecord, executions: ReadonlyMap<string, number>): Violation[] {
	const {token, kind, effect, responses, group} = record;
	const count = executions.get(token) ?? 0;
	const formatMessage = (what: string) => `${group}: ${kind} ${token} ${what}; responses: ${responses.join(' | ')}`;
	if (count > 1) {
		return [{invariant: Invariant.AtMostOnce, message: formatMessage(`took effect ${count} times`)}];
	}

	if (count === 0.5) {
		return [{invariant: Invariant.TransactionIsolation, message: formatMessage('took effect only partially')}];
	}

	if (effect === Effect.Acknowledged && count === 0) {
		return [{invariant: Invariant.NoAcknowledgementByReplacedPrimary, message: formatMessage('was acknowledged but is missing')}];
	}

	return effect === Effect.None && count > 0
		? [{invariant: Invariant.RefusedHasNoEffect, message: formatMessage('was refused but took effect')}]
		: [];
}
