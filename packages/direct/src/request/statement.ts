import {type StatementKind} from './statement-kind.js';

/** Statement that a client sent, with the parts that routing and session state need. */
export type Statement = {
	/** Identifier that the client gave to the request; it reaches the instance unchanged. */
	readonly identifier: string;
	readonly kind: StatementKind;
	/** Text as the client sent it; it reaches the instance unchanged, except for the name of a prepared statement. */
	readonly text: string;
	/** Name of the session value or of the prepared statement, where the kind has one. */
	readonly name?: string;
	/** Value of `SetValue`. */
	readonly value?: string;
	/** Definition of `Prepare`. */
	readonly definition?: PreparedDefinition;
	/** What follows the name in the text of `Execute`, starting with the blank. */
	readonly argumentsText?: string;
};

/** What a prepared statement runs. */
export type PreparedDefinition = {
	readonly writes: boolean;
	readonly shape: string;
};
