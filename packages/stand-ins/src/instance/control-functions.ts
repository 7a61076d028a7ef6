import {type InstanceOptions} from './instance-options.js';
import {type InstanceState} from './instance-state.js';
import {type SlotPool} from './slot-pool.js';
import {SqlError} from './sql-error.js';
import {type Value} from './sql-statement.js';
import {TypeIdentifier, type ResultColumn, type StatementResult} from './statement-executor.js';

type Column = ResultColumn & {readonly value: Value};

/** Parts of the instance that the control functions use. */
export type ControlFunctionsOptions = {
	readonly options: InstanceOptions;
	readonly state: InstanceState;
	readonly slots: SlotPool;
	/** Follows a primary and returns the number of truncated entries. */
	readonly follow: (address: string) => Promise<number>;
};

const column = (name: string, type: TypeIdentifier, value: Value | number): Column => ({name, type, value: value === null ? null : String(value)});
const accepted = (value: boolean) => column('accepted', TypeIdentifier.Bool, value ? 't' : 'f');

/** The functions by which hosts read the status of an instance and change its role. */
export class ControlFunctions {
	readonly #parts: ControlFunctionsOptions;

	readonly #functions: Readonly<Record<string, {readonly lead: readonly Column[]; run(operands: readonly Value[]): Promise<readonly Column[]>}>> = {
		tarragon_status: {lead: [], run: async () => []},
		tarragon_raise: {
			lead: [accepted(false)],
			run: async ([term, promoter]) => [accepted(this.#parts.state.raise(Number(term), promoter ?? ''))],
		},
		tarragon_promote: {
			lead: [accepted(false)],
			run: async ([term, promoter]) => [accepted(this.#parts.state.promote(Number(term), promoter ?? ''))],
		},
		tarragon_follow: {
			lead: [accepted(false), column('truncated', TypeIdentifier.Int8, 0)],
			run: async ([address, term]) => {
				const isAccepted = this.#parts.state.follow(address ?? '', Number(term));
				const truncated = isAccepted ? await this.#parts.follow(address ?? '') : 0;
				return [accepted(isAccepted), column('truncated', TypeIdentifier.Int8, truncated)];
			},
		},
	};

	/** @param parts - Parts of the instance. */
	constructor(parts: ControlFunctionsOptions) {
		this.#parts = parts;
	}

	/**
	 * Runs a function.
	 *
	 * @param name - Name of the function.
	 * @param operands - Arguments.
	 */
	async run(name: string, operands: readonly Value[]): Promise<StatementResult> {
		const lead = await this.#get(name).run(operands);
		const columns = [...lead, ...this.#getStatus()];
		return {columns, rows: [columns.map(({value}) => value)], tag: 'SELECT 1'};
	}

	/**
	 * Returns the columns of a function's result.
	 *
	 * @param name - Name of the function.
	 */
	describe(name: string): readonly ResultColumn[] {
		return [...this.#get(name).lead, ...this.#getStatus()];
	}

	#get(name: string) {
		const found = this.#functions[name];
		if (!found) {
			throw new SqlError('42883', `function ${name} does not exist`);
		}

		return found;
	}

	#getStatus(): readonly Column[] {
		const {options, state, slots} = this.#parts;
		return [
			column('instance', TypeIdentifier.Text, options.name),
			column('role', TypeIdentifier.Text, state.role),
			column('term', TypeIdentifier.Int8, state.term),
			column('promoter', TypeIdentifier.Text, state.promoter),
			column('log_term', TypeIdentifier.Int8, state.position.term),
			column('log_index', TypeIdentifier.Int8, state.position.index),
			column('term_start_index', TypeIdentifier.Int8, state.log.termStartIndex),
			column('primary_silence_ms', TypeIdentifier.Int8, state.primarySilenceMilliseconds),
			column('primary_address', TypeIdentifier.Text, state.primaryAddress),
			column('slots', TypeIdentifier.Int4, slots.limit),
			column('connection_limit', TypeIdentifier.Int4, options.connectionLimit),
		];
	}
}
