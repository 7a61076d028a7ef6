import {type SqlAnalysis} from '../../request/index.js';
import {type PreparedStatement} from './prepared-statements.js';

/** Kinds of steps of a statement unit. */
export enum UnitStepKind {
	Parse = 'parse',
	Bind = 'bind',
	DescribeStatement = 'describe-statement',
	DescribePortal = 'describe-portal',
	Execute = 'execute',
	Close = 'close',
}

/** One message of a statement unit with the SQL text to which it refers. Close refers to no text. */
export type UnitStep = {
	readonly kind: UnitStepKind;
	readonly analysis?: SqlAnalysis;
};

/** Change to the prepared statements of the connection. It takes effect when the upstream acknowledges it. */
export type StatementChange = {
	readonly name: string;
	/** New statement; missing if the statement is closed. */
	readonly statement?: PreparedStatement;
};

/** Messages of a caller that run as one request: one Query message, or the extended-query messages up to Sync or Flush. */
export type StatementUnit = {
	/** True for a Query message, false for extended-query messages. */
	readonly isSimple: boolean;
	/** Frontend messages for the upstream, ending with Query or Sync. */
	readonly messages: Buffer;
	/** Indexes of the inserted Parse messages among all Parse messages. The caller must not receive their ParseComplete. */
	readonly hiddenParseCompletes: readonly number[];
	readonly steps: readonly UnitStep[];
	/** Changes in the order of the forwarded ParseComplete and CloseComplete messages; `undefined` where nothing changes. */
	readonly changes: ReadonlyArray<StatementChange | undefined>;
	/** Portals that exist after the unit, with the analysis of their SQL text. */
	readonly portals: ReadonlyMap<string, SqlAnalysis>;
	/** Monotonic time at which the first byte was read, in milliseconds. */
	readonly arrivedAt: number;
};
