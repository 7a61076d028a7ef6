import {createHash, timingSafeEqual} from 'node:crypto';
import {type Socket} from 'node:net';
import {type Contract, TransactionStatus} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {type TlsOptions} from 'pg-gateway';
import {parseStartupOptions, SessionAction} from '../../request/index.js';
import {type ConfigurationStore} from '../../version/index.js';
import {
	encodeAuthenticationOk, encodeBackendKeyData, encodeErrorResponse, encodeParameterStatus, encodeReadyForQuery, Severity,
} from './backend-messages.js';
import {type CallerError, SqlState} from './caller-error.js';
import {type FrontendMessageReader} from './frontend-message-reader.js';
import {PgGatewayConnection} from './pg-gateway-connection.js';
import {checkGroup, SessionState} from './session-state.js';

const cancelRequestCode = 80_877_102;
const tlsRequestCode = 80_877_103;
const gssapiRequestCode = 80_877_104;
const startupParametersOffset = 8;
const sha256Bytes = 32;

/** Startup parameters that are not settings. */
const reservedParameters: ReadonlySet<string> = new Set(['user', 'database', 'options', 'replication']);
const falseValues: ReadonlySet<string> = new Set(['false', 'off', 'no', '0']);

/* eslint-disable unicorn/text-encoding-identifier-case -- PostgreSQL reports the encoding in upper case. */
/** Parameters that are reported after the login because drivers depend on them. */
const reportedParameters: ReadonlyArray<readonly [name: string, value: string]> = [
	['server_version', '16.0'],
	['server_encoding', 'UTF8'],
	['client_encoding', 'UTF8'],
	['DateStyle', 'ISO, MDY'],
	['IntervalStyle', 'postgres'],
	['TimeZone', 'UTC'],
	['integer_datetimes', 'on'],
	['standard_conforming_strings', 'on'],
];
/* eslint-enable unicorn/text-encoding-identifier-case */

/** Result of a successful login. */
export type LoginResult = {
	readonly user: string;
	readonly customer: string;
	readonly session: SessionState;
};

/** Options of a login. */
export type LoginOptions = {
	readonly socket: Socket;
	readonly reader: FrontendMessageReader;
	readonly configurationStore: ConfigurationStore;
	readonly tls?: TlsOptions;
	/** Adds the connection to the count of the customer; returns false if the limit of the contract is reached. */
	readonly admit: (contract: Contract) => boolean;
	/** Called with the key of a cancel request. */
	readonly cancel: (key: Buffer) => void;
	/** Key that is sent to the caller for cancel requests. */
	readonly cancelKey: Buffer;
};

/** Startup, TLS upgrade and password authentication of one caller connection. */
export class CallerLogin {
	readonly #options: LoginOptions;
	readonly #pgGateway: PgGatewayConnection;

	/**
	 * @param options - Socket, reader and services.
	 */
	constructor(options: LoginOptions) {
		this.#options = options;
		this.#pgGateway = new PgGatewayConnection(options.socket, {
			authMode: 'cleartextPassword',
			...(options.tls && {tls: options.tls}),
			onTlsUpgrade: () => {
				options.reader.attach(this.#pgGateway.socket);
			},
			onStartup: () => this.#refuseWithoutConfiguration(),
			validateCredentials: credentials => credentials.authMode === 'cleartextPassword' && this.#areCredentialsValid(credentials.user, credentials.password),
		});
	}

	/** Socket to use: the TLS socket after a TLS upgrade, otherwise the accepted socket. */
	get socket(): Socket {
		return this.#pgGateway.socket;
	}

	/**
	 * Performs the login.
	 *
	 * @returns `undefined` if the connection must be closed: after a refusal, a cancel request, or invalid bytes.
	 */
	async run(): Promise<LoginResult | undefined> {
		const startup = await this.#readStartup();
		if (!startup) {
			return undefined;
		}

		await this.#passToPgGateway(startup);
		const password = await this.#options.reader.readPasswordMessage();
		// pg-gateway reads beyond the end of a message whose string is not terminated.
		if (password?.type !== 'p' || !password.bytes.includes(0, 5)) {
			return undefined;
		}

		let isAuthenticated = false;
		this.#pgGateway.onAuthenticated = () => {
			isAuthenticated = true;
		};

		await this.#passToPgGateway(password.bytes);
		return isAuthenticated ? this.#completeLogin() : undefined;
	}

	async #readStartup(): Promise<Buffer | undefined> {
		const {reader, socket, cancel} = this.#options;
		for (;;) {
			const packet = await reader.readStartupPacket();
			const code = packet?.readInt32BE(4);
			if (!packet || code === cancelRequestCode) {
				cancel(packet?.subarray(8) ?? Buffer.alloc(0));
				return undefined;
			}

			if (code === gssapiRequestCode) {
				socket.write('N');
			} else if (code === tlsRequestCode) {
				// Plaintext bytes that follow the request could be mistaken for bytes of the TLS session.
				if (reader.bufferedBytes > 0 || this.#pgGateway.secureSocket) {
					return undefined;
				}

				await this.#passToPgGateway(packet);
			} else {
				return isWellFormedStartupMessage(packet) ? packet : undefined;
			}
		}
	}

	/** Passes one message to pg-gateway. Returns early if the connection ends, for example during the TLS handshake. */
	async #passToPgGateway(message: Buffer): Promise<void> {
		const {ended} = this.#options.reader;
		await Promise.race([
			this.#pgGateway.handleData(message),
			new Promise<void>(resolve => {
				ended.addEventListener('abort', () => {
					resolve();
				}, {once: true});
			}),
		]);
	}

	#refuseWithoutConfiguration(): boolean {
		if (this.#options.configurationStore.getCurrent()) {
			return false;
		}

		this.#refuse({code: SqlState.NoConfiguration, message: 'the host has no configuration yet', hint: 'retry after 1000 ms'});
		return true;
	}

	#areCredentialsValid(user: string, password: string): boolean {
		const contract = this.#options.configurationStore.getCurrent()?.getContractOfUser(user);
		const expected = contract?.users.find(candidate => candidate.name === user)?.passwordSha256;
		const digest = createHash('sha256').update(password).digest();
		const isEqual = timingSafeEqual(digest, expected === undefined ? Buffer.alloc(sha256Bytes) : Buffer.from(expected, 'hex'));
		return isEqual && expected !== undefined;
	}

	#completeLogin(): LoginResult | undefined {
		const parameters = this.#pgGateway.clientInfo?.parameters ?? {user: ''};
		const contract = this.#options.configurationStore.getCurrent()?.getContractOfUser(parameters.user);
		if (!contract) {
			return undefined;
		}

		const session = new SessionState(parameters.database ?? parameters.user);
		const applied = applyStartupParameters(session, parameters, contract);
		if (applied.isErr()) {
			this.#refuse(applied.error);
			return undefined;
		}

		if (!this.#options.admit(contract)) {
			this.#refuse({
				code: SqlState.TooManyConnections,
				message: `customer "${contract.customer}" has reached the limit of ${contract.limits.connectionsPerHost} connections to this host in its contract`,
			});
			return undefined;
		}

		this.#pgGateway.socket.write(Buffer.concat([
			encodeAuthenticationOk(),
			...reportedParameters.map(([name, value]) => encodeParameterStatus(name, value)),
			encodeParameterStatus('application_name', session.applicationName),
			encodeBackendKeyData(this.#options.cancelKey),
			encodeReadyForQuery(TransactionStatus.Idle),
		]));
		return {
			user: parameters.user,
			customer: contract.customer,
			session,
		};
	}

	#refuse(error: CallerError): undefined {
		this.#pgGateway.socket.end(encodeErrorResponse(Severity.Fatal, error));
	}
}

function applyStartupParameters(session: SessionState, parameters: Readonly<Record<string, string>>, contract: Contract): Result<void, CallerError> {
	if (parameters.replication !== undefined && !falseValues.has(parameters.replication)) {
		return err({code: SqlState.FeatureNotSupported, message: 'replication connections are not supported'});
	}

	const options = parseStartupOptions(parameters.options ?? '');
	if (options.isErr()) {
		return err({code: SqlState.InvalidParameterValue, message: options.error});
	}

	const settings = Object.entries(parameters).filter(([name]) => !reservedParameters.has(name) && !name.startsWith('_pq_.'));
	for (const [name, value] of [...settings, ...options.value]) {
		const applied = session.apply({action: SessionAction.Set, name: name.toLowerCase(), value}, contract);
		if (applied.isErr()) {
			return err(applied.error);
		}
	}

	session.saveResetValues();
	return checkGroup(session.group, contract).mapErr(() => ({
		code: SqlState.InvalidDatabase,
		message: `database "${session.group}" is not a group of the contract`,
	}));
}

/** Checks that the parameters are pairs of null-terminated strings. pg-gateway loops forever on an unterminated string. */
function isWellFormedStartupMessage(packet: Buffer): boolean {
	let offset = startupParametersOffset;
	for (let stringIndex = 0; offset < packet.length; stringIndex++) {
		const end = packet.indexOf(0, offset);
		if (end === offset && stringIndex % 2 === 0) {
			return end === packet.length - 1;
		}

		if (end === -1) {
			return false;
		}

		offset = end + 1;
	}

	return false;
}
