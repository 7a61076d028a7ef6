import {type Socket} from 'node:net';
import {TransactionStatus} from '@tarragonstack/core';
import {PostgresConnection, type PostgresConnectionOptions} from 'pg-gateway';
import {backendMessages} from './backend-messages.js';

/** Request code of a cancel request, sent in place of the protocol version. */
const cancelRequestCode = 80_877_102;

/** Client encoding reported to clients. */
const clientEncoding = 'utf8'.toUpperCase();

/** Key that a cancel request must contain to identify the session. */
export type CancelKey = {
	readonly processIdentifier: number;
	readonly secret: number;
};

/** Key and callbacks of a `ClientConnection`. */
export type ClientConnectionHooks = {
	/** Cancel key of the new session. */
	readonly cancelKey: CancelKey;
	/** Called with the key of a cancel request, after which the connection is closed. */
	readonly onCancel: (key: CancelKey) => void;
	/** Called once after authentication. */
	readonly onSession: (socket: Socket) => void;
	/** Called with each message that arrived together with the last authentication message. */
	readonly onEarlyMessage: (message: Buffer) => void;
};

/** Handles the startup and authentication of a connection with pg-gateway and then hands over the socket. */
export class ClientConnection extends PostgresConnection {
	readonly #hooks: ClientConnectionHooks;

	/**
	 * @param socket - Accepted socket.
	 * @param options - Options of pg-gateway.
	 * @param hooks - Cancel key and callbacks.
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

	/** Completes the startup with a cancel key, which pg-gateway does not send, and hands over the socket. */
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
