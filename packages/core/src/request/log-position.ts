/** Position in the replicated log of a group: the term of the primary and the index of the log entry. */
export type LogPosition = {
	readonly term: number;
	readonly index: number;
};

/**
 * Compares two positions by term, then by index.
 *
 * @param left - First position.
 * @param right - Second position.
 * @returns A negative number, zero or a positive number, as a sort callback expects.
 */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
	return left.term === right.term ? left.index - right.index : left.term - right.term;
}

/**
 * Formats a position as the token that callers receive.
 *
 * @param position - Position to format.
 * @returns The token `term:index`.
 */
export function formatLogPosition(position: LogPosition): string {
	return `${position.term}:${position.index}`;
}

/**
 * Parses a position token from a caller.
 *
 * @param token - Text of the form `term:index`.
 * @returns The position, or `undefined` if the token is malformed.
 */
export function parseLogPosition(token: string): LogPosition | undefined {
	const match = /^(?<term>\d{1,15}):(?<index>\d{1,15})$/v.exec(token);
	return match?.groups && {term: Number(match.groups.term), index: Number(match.groups.index)};
}
