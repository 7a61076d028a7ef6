/** Receiver of structured log lines. */
export type EventLog = {
	/**
	 * Writes one line. Never blocks; lines above the budget are dropped and counted.
	 *
	 * @param event - Name of the event, in lower case with hyphens.
	 * @param fields - Inputs of the decision and its outcome.
	 */
	write(event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void;
};
