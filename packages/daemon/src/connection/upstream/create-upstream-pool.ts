import {type Logger, type TimerService} from '@tarragonstack/core';
import {type InstanceInGroup} from '../../version/configuration-store.js';
import {UpstreamConnection} from './upstream-connection.js';
import {UpstreamPool} from './upstream-pool.js';

/**
 * Time limit of a login, in milliseconds. A login takes about 10 ms. The limit bounds the time for which requests wait during
 * a partition.
 */
const openTimeoutMilliseconds = 1000;

/** Settings shared by the pools of all instances. */
export type UpstreamPoolSettings = {
	/** Source address of the connections. */
	readonly localAddress: string;
	readonly user: string;
	readonly password: string;
	readonly timerService: TimerService;
	readonly logger?: Logger;
};

/**
 * Creates the connection pool of an instance. The database is named after the group.
 *
 * @param instanceInGroup - Instance with its group.
 * @param settings - Source address, credentials and services.
 */
export function createUpstreamPool({group, instance}: InstanceInGroup, settings: UpstreamPoolSettings): UpstreamPool {
	const {localAddress, user, password, timerService, logger} = settings;
	const [host = '', port = ''] = instance.address.split(':');
	return new UpstreamPool({
		timerService,
		slots: instance.slots,
		connectionLimit: instance.connectionLimit,
		open: () => UpstreamConnection.open({
			host, port: Number(port), localAddress, user, password, database: group.name, timeoutMilliseconds: openTimeoutMilliseconds,
		}),
		onOpenFailed({message, sqlState}) {
			logger?.warn({instance: instance.name, sqlState: sqlState ?? ''}, `could not open an upstream connection: ${message}`);
		},
	});
}
