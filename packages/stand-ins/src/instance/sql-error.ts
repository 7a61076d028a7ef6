/** Error that a statement reports to the client. */
export class SqlError extends Error {
	/**
	 * @param code - SQLSTATE.
	 * @param message - Message for the client.
	 */
	constructor(readonly code: string, message: string) {
		super(message);
	}
}
