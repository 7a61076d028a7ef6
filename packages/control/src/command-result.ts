import {ExitCode} from './exit-code.js';

/** Result of a command, printed as text or, with `--json`, as one JSON object. */
export type CommandResult = {
	readonly exitCode: ExitCode;
	/** Human-readable output. After a failure, the last line is a hint on what to do next. */
	readonly lines: readonly string[];
	readonly data: Readonly<Record<string, unknown>>;
};

/**
 * Creates the result of a command that succeeded.
 *
 * @param lines - Human-readable output.
 * @param data - Fields of the JSON object.
 */
export function succeed(lines: readonly string[], data: Readonly<Record<string, unknown>>): CommandResult {
	return {exitCode: ExitCode.Accepted, lines, data};
}

/**
 * Creates the result of a command that failed.
 *
 * @param exitCode - Exit code of the program.
 * @param problem - One or more error messages.
 * @param hint - What to do next.
 */
export function fail(exitCode: ExitCode, problem: string | readonly string[], hint: string): CommandResult {
	const problems = typeof problem === 'string' ? [problem] : problem;
	return {exitCode, lines: [...problems, hint], data: {outcome: ExitCode[exitCode], problems, next: hint}};
}
