import fc from 'fast-check';
import {FaultKind} from './fault.js';

/** Kind of a fuzz command. */
export enum CommandKind {
	Insert = 'insert',
	ReadOwnWrites = 'read-own',
	Append = 'append',
	AppendWithKey = 'append-with-key',
	Transaction = 'transaction',
	Rollback = 'rollback',
	AbandonTransaction = 'leave-transaction',
	ReadPair = 'read-pair',
	ReadConstant = 'read-constant',
	BeginFault = 'begin-fault',
	EndFault = 'end-fault',
	ChangeConfiguration = 'change-configuration',
	ConcurrentChanges = 'change-twice',
	Promote = 'promote',
}

/** Command of a fuzz run. The numbers select hosts, sessions, counters and processes, modulo the number that exist. */
export type FuzzCommand = {
	readonly kind: CommandKind;
	readonly host: number;
	readonly otherHost: number;
	readonly session: number;
	readonly choice: number;
	readonly fault: FaultKind;
	/** Number of requests that the command sends concurrently. */
	readonly burst: number;
};

/** Relative frequency of each kind of command. */
const weights: Readonly<Record<CommandKind, number>> = {
	[CommandKind.Insert]: 12,
	[CommandKind.ReadOwnWrites]: 12,
	[CommandKind.Append]: 6,
	[CommandKind.AppendWithKey]: 8,
	[CommandKind.Transaction]: 6,
	[CommandKind.Rollback]: 2,
	[CommandKind.AbandonTransaction]: 2,
	[CommandKind.ReadPair]: 6,
	[CommandKind.ReadConstant]: 4,
	[CommandKind.BeginFault]: 12,
	[CommandKind.EndFault]: 7,
	[CommandKind.ChangeConfiguration]: 4,
	[CommandKind.ConcurrentChanges]: 2,
	[CommandKind.Promote]: 2,
};

const maximumSelector = 1000;
const maximumBurst = 20;

/**
 * Generates the commands of a run. They depend only on the seed and the number of commands.
 *
 * @param seed - Seed.
 * @param steps - Number of commands.
 */
export function generateCommands(seed: number, steps: number): FuzzCommand[] {
	const selector = fc.integer({min: 0, max: maximumSelector});
	const command: fc.Arbitrary<FuzzCommand> = fc.record({
		kind: fc.oneof(...Object.entries(weights).map(([kind, weight]) => ({arbitrary: fc.constant(kind as CommandKind), weight}))),
		host: selector,
		otherHost: selector,
		session: selector,
		choice: selector,
		fault: fc.constantFrom(...Object.values(FaultKind)),
		burst: fc.integer({min: 1, max: maximumBurst}),
	});
	return fc.sample(command, {seed, numRuns: steps});
}
