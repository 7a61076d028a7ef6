import {type WaitingRequest} from '../request/waiting-request.js';
import {type PooledConnection, type SessionContext} from './pooled-connection.js';

/** Connections of a pool that are in use, by workspace and priority. */
export class FlowUsage {
	readonly #flows = new Map<PooledConnection, string>();
	readonly #counts = new Map<string, number>();

	/** Returns the number of connections that requests of the same workspace and priority use. */
	count(request: WaitingRequest, context: SessionContext): number {
		return this.#counts.get(getFlow(request, context)) ?? 0;
	}

	/** Records that a connection is granted to a request. */
	add(connection: PooledConnection, request: WaitingRequest, context: SessionContext): void {
		const flow = getFlow(request, context);
		this.#flows.set(connection, flow);
		this.#counts.set(flow, (this.#counts.get(flow) ?? 0) + 1);
	}

	/** Records that a connection is no longer in use. */
	remove(connection: PooledConnection): void {
		const flow = this.#flows.get(connection);
		if (flow === undefined) {
			return;
		}

		this.#flows.delete(connection);
		const count = this.#counts.get(flow)! - 1;
		if (count > 0) {
			this.#counts.set(flow, count);
		} else {
			this.#counts.delete(flow);
		}
	}
}

function getFlow({priority}: WaitingRequest, {workspace}: SessionContext): string {
	return workspace === undefined ? `${priority}` : `${priority} ${workspace}`;
}
