import {type StatementKind} from './statement-kind.js';

/** Statement of a client, parsed as far as routing and session state require. */
export type Statement = {
	/** Identifier that the client assigned to the request; it is passed to the instance unchanged. */
	readonly identifier: string;
	readonly kind: StatementKind;
	/** Text from the client; it is passed to the instance unchanged, except for the name of a prepared statement. */
	readonly text: string;
	/** Name of the session value or prepared statement, if the kind has one. */
	readonly name?: string;
	/** Value of `SetValue`. */
	readonly value?: string;
	/** Definition of `Prepare`. */
	readonly definition?: PreparedDefinition;
	/** Text of `Execute` after the name, including the leading space. */
	readonly argumentsText?: string;
};

/** Definition of a prepared statement. */
export type PreparedDefinition = {
	readonly writes: boolean;
	readonly shape: string;
};
