import {type UpstreamDialer} from './upstream-channel.js';

/** Opens connections to instances through gateways. */
export type GatewayDialer = UpstreamDialer & {
	/** Returns the name of the gateway to which a workspace's statements are sent if it works, or `undefined`. */
	getPreferredGateway?(instance: string, workspace: string | undefined): string | undefined;
};

/** Route from a host to an instance. */
export type InstanceRoute = {
	/** Maximum number of connections. */
	readonly maximumConnections: number;
	/**
	 * Maximum number of statements in flight; the number of connections if missing. A gateway keeps more connections than it
	 * uses at once, and lets statements wait in its own queue, which orders them, rather than in that of the instance.
	 */
	readonly maximumInFlight?: number;
	/**
	 * Maximum number of connections for the requests of one workspace and priority, if there is one. Those that exceed it wait at
	 * this host, so that they don't keep the requests of others from reaching the gateway, which orders all of them.
	 */
	readonly maximumPerFlow?: number;
	/** Opens connections through gateways; missing if the host connects to the instance directly. */
	readonly gatewayDialer?: GatewayDialer | undefined;
};
