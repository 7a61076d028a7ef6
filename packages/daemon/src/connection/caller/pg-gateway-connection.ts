import {nextTick} from 'node:process';
import {type Socket} from 'node:net';
import {PostgresConnection, type TlsOptions, type TlsOptionsCallback} from 'pg-gateway';

/**
 * Authentication of a caller connection through pg-gateway. `FrontendMessageReader` splits the bytes into messages and
 * checks them, because pg-gateway does not limit the size of a message and parses only one message per chunk.
 */
export class PgGatewayConnection extends PostgresConnection {
	/** Called when the caller is authenticated, in place of the default completion, which sends no BackendKeyData. */
	onAuthenticated?: () => void;

	/** Adds no handlers: messages are passed to `handleData` one at a time. */
	override createSocketHandlers(_socket: Socket): void {}

	/** Does nothing, because no handlers were added. */
	override removeSocketHandlers(_socket: Socket): void {}

	/** @inheritdoc */
	override async completeAuthentication(): Promise<void> {
		this.isAuthenticated = true;
		this.onAuthenticated?.();
	}

	/** @inheritdoc */
	override async upgradeToTls(options: TlsOptions | TlsOptionsCallback): Promise<void> {
		const upgrade = super.upgradeToTls(options);
		await new Promise<void>(resolve => {
			nextTick(resolve);
		});
		// pg-gateway adds no error listener during the handshake. Without one, the first invalid byte terminates the process.
		this.secureSocket?.on('error', () => {
			this.secureSocket?.destroy();
		});
		await upgrade;
	}
}
