import {InstanceRole, type InstanceStatus} from '../../request/index.js';

/** Row returned by a control function. The values are text, or numbers and Booleans for columns of these types. */
export type ControlRow = Readonly<Record<string, unknown>>;

/** Thrown when a column of a control row is missing or invalid. */
export class ControlRowError extends Error {
	override readonly name = 'ControlRowError';
}

/**
 * Returns the value of an integer column.
 *
 * @param row - Row of a control function.
 * @param column - Name of the column.
 */
export function getIntegerOrThrow(row: ControlRow, column: string): number {
	const value = row[column];
	const number = typeof value === 'string' && value !== '' ? Number(value) : value;
	if (typeof number !== 'number' || !Number.isSafeInteger(number)) {
		throw new ControlRowError(`column ${column} is not an integer`);
	}

	return number;
}

/**
 * Returns the value of a Boolean column.
 *
 * @param row - Row of a control function.
 * @param column - Name of the column.
 */
export function getBooleanOrThrow(row: ControlRow, column: string): boolean {
	const value = row[column];
	if (value === true || value === 't' || value === 'true') {
		return true;
	}

	if (value === false || value === 'f' || value === 'false') {
		return false;
	}

	throw new ControlRowError(`column ${column} is not a Boolean`);
}

function getTextOrThrow(row: ControlRow, column: string): string {
	const value = row[column] ?? '';
	if (typeof value !== 'string') {
		throw new ControlRowError(`column ${column} is not text`);
	}

	return value;
}

function getRoleOrThrow(row: ControlRow): InstanceRole {
	const text = getTextOrThrow(row, 'role');
	const role = Object.values(InstanceRole).find(value => String(value) === text);
	if (role === undefined) {
		throw new ControlRowError(`role "${text}" is unknown`);
	}

	return role;
}

/**
 * Returns the instance status that a row contains.
 *
 * @param row - Row of a control function.
 * @param instance - Configured name of the instance.
 * @param observedAt - Time at which the status was requested.
 */
export function getStatusOrThrow(row: ControlRow, instance: string, observedAt: number): InstanceStatus {
	const reportedName = getTextOrThrow(row, 'instance');
	if (reportedName !== instance) {
		// With a wrong address in the configuration, one instance would otherwise count twice in a majority.
		throw new ControlRowError(`instance "${reportedName}" answered at the address of "${instance}"`);
	}

	return {
		instance,
		role: getRoleOrThrow(row),
		term: getIntegerOrThrow(row, 'term'),
		promoter: getTextOrThrow(row, 'promoter'),
		position: {term: getIntegerOrThrow(row, 'log_term'), index: getIntegerOrThrow(row, 'log_index')},
		termStartIndex: getIntegerOrThrow(row, 'term_start_index'),
		primarySilenceMilliseconds: getIntegerOrThrow(row, 'primary_silence_ms'),
		primaryAddress: getTextOrThrow(row, 'primary_address'),
		slots: getIntegerOrThrow(row, 'slots'),
		connectionLimit: getIntegerOrThrow(row, 'connection_limit'),
		observedAt,
	};
}
