import fc from 'fast-check';
import {FaultKind} from './fault.js';

/** Kind of a command. */
export enum CommandKind {
	Insert = 'insert',
	ReadOwn = 'read-own',
	Append = 'append',
	AppendWithKey = 'append-with-key',
	Transaction = 'transaction',
	Rollback = 'rollback',
	LeaveTransaction = 'leave-transaction',
	ReadPair = 'read-pair',
	ReadConstant = 'read-constant',
	BeginFault = 'begin-fault',
	EndFault = 'end-fault',
	ChangeConfiguration = 'change-configuration',
	ChangeTwice = 'change-twice',
	Promote = 'promote',
}

/** Command of a sequence. The numbers select hosts, sessions, counters and processes modulo what exists. */
export type FuzzCommand = {
	readonly kind: CommandKind;
	readonly host: number;
	readonly otherHost: number;
	readonly session: number;
	readonly choice: number;
	readonly fault: FaultKind;
	/** Requests of callers that run together with this one, so that commands overlap. */
	readonly burst: number;
};

/** Relative frequency of each kind. */
const weights: Readonly<Record<CommandKind, number>> = {
	[CommandKind.Insert]: 12,
	[CommandKind.ReadOwn]: 12,
	[CommandKind.Append]: 6,
	[CommandKind.AppendWithKey]: 8,
	[CommandKind.Transaction]: 6,
	[CommandKind.Rollback]: 2,
	[CommandKind.LeaveTransaction]: 2,
	[CommandKind.ReadPair]: 6,
	[CommandKind.ReadConstant]: 4,
	[CommandKind.BeginFault]: 12,
	[CommandKind.EndFault]: 7,
	[CommandKind.ChangeConfiguration]: 4,
	[CommandKind.ChangeTwice]: 2,
	[CommandKind.Promote]: 2,
};

const greatestNumber = 1000;
const greatestBurst = 20;

/**
 * Generates the commands of a run. The same seed and length give the same commands.
 *
 * @param seed - Seed.
 * @param steps - Number of commands.
 */
export function generateCommands(seed: number, steps: number): FuzzCommand[] {
	const number = fc.integer({min: 0, max: greatestNumber});
	const command: fc.Arbitrary<FuzzCommand> = fc.record({
		kind: fc.oneof(...Object.entries(weights).map(([kind, weight]) => ({arbitrary: fc.constant(kind as CommandKind), weight}))),
		host: number,
		otherHost: number,
		session: number,
		choice: number,
		fault: fc.constantFrom(...Object.values(FaultKind)),
		burst: fc.integer({min: 1, max: greatestBurst}),
	});
	return fc.sample(command, {seed, numRuns: steps});
}
