import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstancePool} from './instance-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {SessionCommand} from './upstream-channel.js';

/** Timeout of a rollback by the proxy, after which the connection is closed, in milliseconds. */
const rollbackTimeoutMilliseconds = 500;

/**
 * Rolls back the transaction on a connection and releases the connection to its pool; closes it if the rollback fails.
 *
 * @param connection - Connection with an open or failed transaction.
 * @param pool - Pool of the connection.
 * @param timer - Monotonic clock.
 */
export async function rollBackAndRelease(connection: PooledConnection, pool: InstancePool, timer: TimerService): Promise<void> {
	if (!connection.channel.closed) {
		pool.recordSend(connection);
		const outcome = await connection.channel.run([{command: SessionCommand.Rollback}], timer.now() + rollbackTimeoutMilliseconds);
		if (outcome.isErr() || outcome.value[0]?.status !== TransactionStatus.Idle) {
			connection.channel[Symbol.dispose]();
		} else {
			pool.recordResponse(connection);
		}
	}

	pool.release(connection);
}
