/** Structured log. */
export type EventLog = {
	/**
	 * Writes one line. Never blocks; lines that exceed the limits of the log are dropped and counted.
	 *
	 * @param event - Name of the event, in lower case with hyphens.
	 * @param fields - Fields that explain the event.
	 */
	write(event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void;
};
