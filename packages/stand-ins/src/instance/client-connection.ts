import {type Socket} from 'node:net';
import {TransactionStatus} from '@tarragonstack/core';
import {PostgresConnection, type PostgresConnectionOptions} from 'pg-gateway';
import {backendMessages} from './backend-messages.js';

/** Number in place of the protocol version that marks a cancel request. */
const cancelRequestCode = 80_877_102;

/** Encoding of all texts. */
const clientEncoding = 'utf8'.toUpperCase();

/** Key by which a client cancels a statement. */
export type CancelKey = {
	readonly processIdentifier: number;
	readonly secret: number;
};

/** Hooks of a `ClientConnection`. */
export type ClientConnectionHooks = {
	/** Key for the new session. */
	readonly cancelKey: CancelKey;
	/** Receives a cancel request; the connection then ends. */
	readonly onCancel: (key: CancelKey) => void;
	/** Called once after the authentication. */
	readonly onSession: (socket: Socket) => void;
	/** Receives messages that were read together with the last message of the authentication. */
	readonly onEarlyMessage: (message: Buffer) => void;
};

/** Start-up and authentication of a connection through pg-gateway, which hands the socket over afterwards. */
export class ClientConnection extends PostgresConnection {
	readonly #hooks: ClientConnectionHooks;

	/**
	 * @param socket - New connection.
	 * @param options - Options of pg-gateway.
	 * @param hooks - Receivers of the session and of cancel requests.
	 */
	constructor(socket: Socket, options: PostgresConnectionOptions, hooks: ClientConnectionHooks) {
		super(socket, {
			...options,
			onMessage(data, state) {
				const message = Buffer.from(data);
				if (state.isAuthenticated) {
					hooks.onEarlyMessage(message);
					return true;
				}

				if (!state.hasStarted && message.length >= 16 && message.readInt32BE(4) === cancelRequestCode) {
					hooks.onCancel({processIdentifier: message.readInt32BE(8), secret: message.readInt32BE(12)});
					socket.end();
					return true;
				}

				return false;
			},
		});
		this.#hooks = hooks;
	}

	/** Sends the key for cancel requests, which pg-gateway does not, and hands the socket over. */
	override async completeAuthentication(): Promise<void> {
		this.isAuthenticated = true;
		this.detach();
		const {processIdentifier, secret} = this.#hooks.cancelKey;
		this.socket.write(Buffer.concat([
			backendMessages.authenticationOk(),
			backendMessages.parameterStatus('server_version', '16.0'),
			backendMessages.parameterStatus('client_encoding', clientEncoding),
			backendMessages.parameterStatus('standard_conforming_strings', 'on'),
			backendMessages.backendKeyData(processIdentifier, secret),
			backendMessages.readyForQuery(TransactionStatus.Idle),
		]));
		this.#hooks.onSession(this.socket);
	}
}
