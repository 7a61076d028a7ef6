import {z} from '@tarragonstack/core';
import {HostState} from '../host-directory.js';

/** Codes of the states in messages. Among records of the same incarnation, the greater code takes precedence. */
const stateNumbers: Readonly<Record<HostState, number>> = {
	[HostState.Joining]: 0,
	[HostState.Live]: 0,
	[HostState.Leaving]: 1,
	[HostState.Unreachable]: 2,
};

const states: readonly HostState[] = [HostState.Live, HostState.Leaving, HostState.Unreachable];

/** State of a host. Only the host itself increases its incarnation. */
export type HostRecord = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly peerAddress: string;
	readonly incarnation: number;
	readonly state: HostState;
};

/** Schema of a host record in a message: name, zone, address, incarnation, state. */
export const hostEntrySchema = z.tuple([
	z.string().min(1).max(63),
	z.string().max(63),
	z.string().regex(/^[\d.]{7,15}:\d{1,5}$/v),
	z.number().int().nonnegative(),
	z.number().int().min(0).max(2),
]);

/** Host record in a message. */
export type HostEntry = z.infer<typeof hostEntrySchema>;

/**
 * Compares two records of the same host. The order is total, so a merge that keeps the greater record gives the same result
 * regardless of the order, repetition and grouping of messages.
 *
 * @param left - First record.
 * @param right - Second record.
 * @returns A positive number if the first record supersedes the second one, and 0 if they are equal.
 */
export function compareHostRecords(left: HostRecord, right: HostRecord): number {
	return (left.incarnation - right.incarnation)
		|| (stateNumbers[left.state] - stateNumbers[right.state])
		|| compareText(left.peerAddress, right.peerAddress)
		|| compareText(left.availabilityZone, right.availabilityZone);
}

/**
 * Returns the record that supersedes the other one.
 *
 * @param known - Stored record, if there is one.
 * @param received - Record from a message.
 */
export function mergeHostRecords(known: HostRecord | undefined, received: HostRecord): HostRecord {
	return known && compareHostRecords(known, received) >= 0 ? known : received;
}

/**
 * Converts a record to its form in messages.
 *
 * @param record - Record to send.
 */
export function toHostEntry(record: HostRecord): HostEntry {
	return [record.name, record.availabilityZone, record.peerAddress, record.incarnation, stateNumbers[record.state]];
}

/**
 * Converts a record from its form in messages.
 *
 * @param entry - Validated entry.
 */
export function fromHostEntry([name, availabilityZone, peerAddress, incarnation, state]: HostEntry): HostRecord {
	return {
		name, availabilityZone, peerAddress, incarnation, state: states[state] ?? HostState.Unreachable,
	};
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : Number(left > right);
}
