import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {type Result} from 'neverthrow';
import {type GatewayReport} from '../request/instance-capacity.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {type StatementOrigin} from '../request/statement-origin.js';
import {type StatementResult} from '../request/statement-result.js';
import {type InstanceEntry} from '../process/instance-entry.js';

/** Session commands that the proxy issues itself. */
export enum SessionCommand {
	/** Clears session values and prepared statements. */
	Reset = 'reset',
	Rollback = 'rollback',
}

/** Statement or command for an instance. */
export type UpstreamStatement
	/** A statement of a client, with the position that the log of the instance must contain. */
	= | {readonly statement: Statement; readonly minimumPosition?: LogPosition; readonly preparedName?: string}
	/** Statement `Begin` or `BeginReadOnly`, issued by the proxy. */
		| {readonly begin: 'read-write' | 'read-only'; readonly minimumPosition?: LogPosition}
		| {readonly command: SessionCommand}
		| {readonly setValue: {readonly name: string; readonly value: string}}
		| {readonly prepare: {readonly name: string; readonly definition: PreparedDefinition}};

/** Reasons why a channel returned no complete response. */
export enum ChannelFailure {
	/** The connection was refused, reset or closed. */
	Broken = 'broken',
	/** No response arrived in time; the connection is closed. */
	TimedOut = 'silent',
	/** The instance accepts no further connections. */
	TooManyConnections = 'too-many-connections',
	/** Another instance responds at the address. */
	WrongInstance = 'wrong-instance',
	/** The instance violates the protocol. */
	Protocol = 'protocol',
	/** The gateway has not sent the statements to the instance. */
	NotRelayed = 'not-relayed',
	/** The gateway has not sent the statements, because they could not be served in their time. The channel stays open. */
	Overloaded = 'overloaded',
}

/** Failure of a channel. */
export type ChannelError = {
	readonly failure: ChannelFailure;
	readonly message: string;
	/** Time after which an overloaded instance may be asked again, in milliseconds. */
	readonly returnAfter?: number;
};

/** Status that an instance reports on request. */
export type InstanceStatus = {
	readonly isPrimary: boolean;
	readonly term: number;
	/** Last position that the instance received. */
	readonly received: LogPosition;
};

/** Connection to an instance. It runs one batch of statements at a time. */
export type UpstreamChannel = Disposable & {
	/** Whether the channel is no longer usable. */
	readonly closed: boolean;
	/** Monotonic time at which the last byte arrived. */
	readonly lastReceivedAt: number;
	/** Name of the gateway through which statements are sent; missing on a direct connection. */
	readonly gateway?: string;
	/** Report of the gateway with the latest results, if the channel leads through one that reports. */
	readonly gatewayReport?: GatewayReport | undefined;
	/** Called once when the connection ends while no batch is running. */
	onClose: (() => void) | undefined;

	/**
	 * Sends all statements in one write and waits for their responses.
	 *
	 * @param batch - Statements in order.
	 * @param deadline - Monotonic time at which the channel is closed if responses are missing.
	 * @param origin - Urgency, for a gateway; missing inside a transaction, whose connection is pinned.
	 * @returns One result per statement, or the failure after which the channel is closed.
	 */
	run(batch: readonly UpstreamStatement[], deadline: number, origin?: StatementOrigin): Promise<Result<StatementResult[], ChannelError>>;

	/**
	 * Requests the status of the instance.
	 *
	 * @param deadline - Monotonic time at which the channel is closed if the response is missing.
	 */
	readStatus(deadline: number): Promise<Result<InstanceStatus, ChannelError>>;

	/**
	 * Demotes the instance to a replica if it is the primary of an earlier term.
	 *
	 * @param term - Term of the new primary.
	 * @param deadline - Monotonic time at which the channel is closed if the response is missing.
	 */
	demote(term: number, deadline: number): Promise<Result<InstanceStatus, ChannelError>>;
};

/** Options of a connection attempt. */
export type DialOptions = {
	/** Workspace whose statements will run on the connection; `undefined` for the host's own statements. */
	readonly workspace?: string | undefined;
	/** Called when the connection is accepted. The instance itself may still be too busy to respond. */
	readonly onConnected?: () => void;
};

/** Opens connections to instances, directly or through a gateway. */
export type UpstreamDialer = {
	/**
	 * Opens a connection and verifies that the expected instance responds.
	 *
	 * @param instance - Instance to connect to.
	 * @param timeoutMilliseconds - Time after which the attempt fails.
	 * @param options - Workspace to name, and a listener.
	 */
	dial(instance: InstanceEntry, timeoutMilliseconds: number, options?: DialOptions): Promise<Result<UpstreamChannel, ChannelError>>;
};

/** Opens direct connections to instances. */
export type DirectDialer = UpstreamDialer & {
	/**
	 * Checks whether an instance accepts connections, without the cost of a session at the instance.
	 *
	 * @param instance - Instance to connect to.
	 * @param timeoutMilliseconds - Time after which the check fails.
	 * @returns Nothing if the connection was accepted, or why it was not.
	 */
	check(instance: InstanceEntry, timeoutMilliseconds: number): Promise<Result<void, ChannelError>>;
};
