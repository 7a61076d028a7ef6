import {type Logger, type TimerService} from '@tarragonstack/core';
import {type InstanceInGroup} from '../../version/configuration-store.js';
import {UpstreamConnection} from './upstream-connection.js';
import {UpstreamPool} from './upstream-pool.js';

/** Time for a log-in, in milliseconds. It takes about 10 ms; a partition must not keep requests waiting for long. */
const openTimeoutMilliseconds = 1000;

/** What the pools of all instances have in common. */
export type UpstreamPoolSettings = {
	/** Source address of the connections. */
	readonly localAddress: string;
	readonly user: string;
	readonly password: string;
	readonly timerService: TimerService;
	readonly logger?: Logger;
};

/**
 * Creates the connection pool of an instance. The database has the name of the group.
 *
 * @param definition - Instance with its group.
 * @param settings - Source address and log-in.
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
			logger?.warn({instance: instance.name, sqlState: sqlState ?? ''}, `a connection could not be opened: ${message}`);
		},
	});
}
