import {type EventLog} from '../process/event-log.js';
import {type HostMetrics} from '../process/host-metrics.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {type ClassTimes} from '../request/class-times.js';
import {type GatewayReport, InstanceCapacity} from '../request/instance-capacity.js';
import {LimitChangeDetector} from '../request/limit-change.js';

/** Response of an instance to a statement, for the learned capacity. */
export type InstanceResponse = {
	/** Time from sending to the response, in milliseconds. */
	readonly milliseconds: number;
	/** Class of the statement; `undefined` if it failed or was refused, so that its time says nothing about the instance. */
	readonly statementClass?: number | undefined;
	readonly report?: GatewayReport | undefined;
};

/** Dependencies of a `CapacityRecorder`. */
export type CapacityRecorderOptions = {
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	/** Usual service times of the group. */
	readonly groupTimes: ClassTimes;
	/** Returns the maximum of the learned limit. */
	getMaximum(): number;
	getInstance(): InstanceEntry;
};

/** Learns the capacity of an instance from responses, counts them, and logs when the learned limit changes much. */
export class CapacityRecorder {
	/** What this host has learned about the capacity of the instance. */
	readonly capacity: InstanceCapacity;
	readonly #options: CapacityRecorderOptions;
	readonly #limitChanges = new LimitChangeDetector();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: CapacityRecorderOptions) {
		this.#options = options;
		this.capacity = new InstanceCapacity({groupTimes: options.groupTimes, getMaximum: () => options.getMaximum(), getSlots: () => options.getInstance().slots});
	}

	/**
	 * Records a response.
	 *
	 * @param response - Duration and class of the statement.
	 * @param inFlight - Statements of this host that were in flight at the instance, including this one.
	 * @param now - Current monotonic time.
	 */
	record({milliseconds, statementClass, report}: InstanceResponse, inFlight: number, now: number): void {
		const {metrics, getInstance} = this.#options;
		const {id, group} = getInstance();
		metrics.countInstanceResponse(group, id, milliseconds);
		if (statementClass !== undefined) {
			const serviceMilliseconds = this.capacity.add({milliseconds, statementClass, inFlight, report}, now);
			if (serviceMilliseconds !== undefined) {
				metrics.countServiceTime(group, id, serviceMilliseconds);
			}

			this.#logLimitChange(now);
		}
	}

	#logLimitChange(now: number): void {
		const {log, getInstance, getMaximum} = this.#options;
		const {capacity} = this;
		const maximum = getMaximum();
		const change = this.#limitChanges.update(capacity.limit, maximum);
		if (change !== undefined) {
			const {id, group} = getInstance();
			log.write(change, {instance: id, group, limit: capacity.limit, maximum, ...capacity.describe(now)});
		}
	}
}
