import {type SqlAnalysis} from '../../request/index.js';
import {type PreparedStatement} from './prepared-statements.js';

/** Protocol step of a unit that the entry host may have to answer itself. */
export enum UnitStepKind {
	Parse = 'parse',
	Bind = 'bind',
	DescribeStatement = 'describe-statement',
	DescribePortal = 'describe-portal',
	Execute = 'execute',
	Close = 'close',
}

/** One step of a unit with the SQL text to which it refers; a Close refers to none. */
export type UnitStep = {
	readonly kind: UnitStepKind;
	readonly analysis?: SqlAnalysis;
};

/** Change of the prepared statements that takes effect when the upstream acknowledges it. */
export type StatementChange = {
	readonly name: string;
	readonly statement?: PreparedStatement;
};

/** One statement unit of a caller. */
export type StatementUnit = {
	/** True for a Query message, false for extended-protocol messages. */
	readonly isSimple: boolean;
	/** Front-end messages for the upstream, ending in Query or Sync. */
	readonly messages: Buffer;
	readonly hiddenParseCompletes: readonly number[];
	readonly steps: readonly UnitStep[];
	/** Changes in the order of the visible ParseComplete and CloseComplete messages; `undefined` where nothing changes. */
	readonly changes: ReadonlyArray<StatementChange | undefined>;
	/** Portals that exist after the unit, with their SQL text. */
	readonly portals: ReadonlyMap<string, SqlAnalysis>;
	readonly arrivedAt: number;
};
