import {type InstanceOptions} from './instance-options.js';
import {type InstanceState} from './instance-state.js';
import {type SlotPool} from './slot-pool.js';
import {SqlError} from './sql-error.js';
import {type Value} from './sql-statement.js';
import {TypeOid, type ResultColumn, type StatementResult} from './statement-executor.js';

type ResultField = ResultColumn & {readonly value: Value};

/** Components of the instance that the control functions use. */
export type ControlFunctionsContext = {
	readonly options: InstanceOptions;
	readonly state: InstanceState;
	readonly slots: SlotPool;
	/** Starts following a primary and returns the number of truncated log entries. */
	readonly follow: (address: string) => Promise<number>;
};

const createField = (name: string, type: TypeOid, value: Value | number): ResultField => ({name, type, value: value === null ? null : String(value)});
const createAcceptedField = (value: boolean) => createField('accepted', TypeOid.Bool, value ? 't' : 'f');

/** SQL functions with which hosts read the status of an instance and change its role. */
export class ControlFunctions {
	readonly #context: ControlFunctionsContext;

	readonly #functions: Readonly<Record<string, {readonly ownFields: readonly ResultField[]; run(argumentValues: readonly Value[]): Promise<readonly ResultField[]>}>> = {
		tarragon_status: {ownFields: [], run: async () => []},
		tarragon_raise: {
			ownFields: [createAcceptedField(false)],
			run: async ([term, promoter]) => [createAcceptedField(this.#context.state.raise(Number(term), promoter ?? ''))],
		},
		tarragon_promote: {
			ownFields: [createAcceptedField(false)],
			run: async ([term, promoter]) => [createAcceptedField(this.#context.state.promote(Number(term), promoter ?? ''))],
		},
		tarragon_follow: {
			ownFields: [createAcceptedField(false), createField('truncated', TypeOid.Int8, 0)],
			run: async ([address, term]) => {
				const isAccepted = this.#context.state.follow(address ?? '', Number(term));
				const truncated = isAccepted ? await this.#context.follow(address ?? '') : 0;
				return [createAcceptedField(isAccepted), createField('truncated', TypeOid.Int8, truncated)];
			},
		},
	};

	/** @param context - Components of the instance. */
	constructor(context: ControlFunctionsContext) {
		this.#context = context;
	}

	/**
	 * Runs a function. The status of the instance follows the function's own fields in the result.
	 *
	 * @param name - Function name.
	 * @param argumentValues - Argument values.
	 */
	async run(name: string, argumentValues: readonly Value[]): Promise<StatementResult> {
		const ownFields = await this.#getFunction(name).run(argumentValues);
		const columns = [...ownFields, ...this.#getStatusFields()];
		return {columns, rows: [columns.map(({value}) => value)], tag: 'SELECT 1'};
	}

	/**
	 * Returns the result columns of a function.
	 *
	 * @param name - Function name.
	 */
	describe(name: string): readonly ResultColumn[] {
		return [...this.#getFunction(name).ownFields, ...this.#getStatusFields()];
	}

	#getFunction(name: string) {
		const found = this.#functions[name];
		if (!found) {
			throw new SqlError('42883', `function ${name} does not exist`);
		}

		return found;
	}

	#getStatusFields(): readonly ResultField[] {
		const {options, state, slots} = this.#context;
		return [
			createField('instance', TypeOid.Text, options.name),
			createField('role', TypeOid.Text, state.role),
			createField('term', TypeOid.Int8, state.term),
			createField('promoter', TypeOid.Text, state.promoter),
			createField('log_term', TypeOid.Int8, state.position.term),
			createField('log_index', TypeOid.Int8, state.position.index),
			createField('term_start_index', TypeOid.Int8, state.log.termStartIndex),
			createField('primary_silence_ms', TypeOid.Int8, state.primarySilenceMilliseconds),
			createField('primary_address', TypeOid.Text, state.primaryAddress),
			createField('slots', TypeOid.Int4, slots.limit),
			createField('connection_limit', TypeOid.Int4, options.connectionLimit),
		];
	}
}
