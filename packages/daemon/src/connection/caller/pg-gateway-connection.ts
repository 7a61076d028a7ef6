import {nextTick} from 'node:process';
import {type Socket} from 'node:net';
import {PostgresConnection, type TlsOptions, type TlsOptionsCallback} from 'pg-gateway';

/**
 * Login part of a caller connection. The bytes are split into messages and checked by `FrontendMessageReader`, because the
 * library does not bound the size of a message and takes apart only one message per chunk.
 */
export class PgGatewayConnection extends PostgresConnection {
	/** Called instead of the library's own end of a login, which sends no BackendKeyData. */
	onAuthenticated?: () => void;

	/** Does nothing: messages are handed to `handleData` one at a time. */
	override createSocketHandlers(_socket: Socket): void {}

	/** Does nothing, as there are no handlers. */
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
		// The library listens to no errors of the handshake; without a listener the first invalid byte ends the process.
		this.secureSocket?.on('error', () => {
			this.secureSocket?.destroy();
		});
		await upgrade;
	}
}
