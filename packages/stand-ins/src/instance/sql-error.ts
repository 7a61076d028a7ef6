/** Error that is sent to the client with its SQLSTATE. */
export class SqlError extends Error {
	/**
	 * @param code - SQLSTATE.
	 * @param message - Error message.
	 */
	constructor(readonly code: string, message: string) {
		super(message);
	}
}
