import {type ClassTimes} from './class-times.js';
import {CongestionWindow} from './congestion-window.js';
import {DistanceEstimate} from './distance-estimate.js';
import {InstanceSpeed} from './instance-speed.js';

/** Weight of a new sample in the exponential moving average of the response time. */
const responseTimeWeight = 0.1;

/** Response time that is assumed before the first sample, in milliseconds. */
const initialResponseTimeMilliseconds = 20;

/**
 * Time after which any sample counts as one of the service time, in milliseconds. On a busy host, there may be none that
 * was sent with few others in flight.
 */
const maximumServiceSampleAge = 2000;

/** Slowness from which a low limit is explained by a slow instance. */
const slowThreshold = 1.5;

/** What a gateway reports about the instance with the result of a statement. */
export type GatewayReport = {
	/** Time that the statement waited at the gateway for a connection, in milliseconds. */
	readonly waited: number;
	/** Limit that the gateway has learned. */
	readonly limit: number;
	/** Slowness of the instance that the gateway has measured. */
	readonly slowness: number;
	/** Round trip from the gateway to the instance, in milliseconds. */
	readonly distance: number;
};

/** Response of an instance to a statement that ran. */
export type ServiceSample = {
	/** Time from sending to the response, in milliseconds. */
	readonly milliseconds: number;
	/** Class of the statement, from `getStatementClass`. */
	readonly statementClass: number;
	/** Statements of this host that were in flight at the instance, including this one. */
	readonly inFlight: number;
	/** Report of the gateway that ran the statement, if any. */
	readonly report?: GatewayReport | undefined;
};

/** Dependencies of an `InstanceCapacity`. */
export type InstanceCapacityOptions = {
	/** Usual service times of the group. */
	readonly groupTimes: ClassTimes;
	/** Returns the maximum of the learned limit. */
	getMaximum(): number;
	/** Returns the number of statements that the instance runs concurrently. */
	getSlots(): number;
};

/** What a host has learned about the capacity of one instance, for a load on instances that nobody has configured weights for. */
export class InstanceCapacity {
	readonly #options: InstanceCapacityOptions;
	readonly #window: CongestionWindow;
	readonly #speed = new InstanceSpeed();
	readonly #distance = new DistanceEstimate();
	#responseTime = initialResponseTimeMilliseconds;
	#serviceSampledAt = Number.NEGATIVE_INFINITY;
	#report: GatewayReport | undefined;

	/**
	 * @param options - Usual service times of the group, and bounds of the limit.
	 */
	constructor(options: InstanceCapacityOptions) {
		this.#options = options;
		this.#window = new CongestionWindow(() => options.getMaximum());
	}

	/** Maximum number of statements that this host has in flight. */
	get limit(): number {
		return this.#window.size;
	}

	/** Limit at the instance: that of the gateway that reported last, or the one of this host. */
	get instanceLimit(): number {
		return this.#report?.limit ?? this.limit;
	}

	/** Moving average of the time from sending a statement to its response, in milliseconds. */
	get responseTime(): number {
		return this.#responseTime;
	}

	/** Service time divided by the usual one of the group for the same class of statements. */
	get slowness(): number {
		return this.#speed.slowness;
	}

	/** Describes the state of the instance for a log line, with the reason of a low limit. */
	describe(now: number): {readonly reason: string; readonly slowness: number; readonly queueingMilliseconds: number} {
		return {
			reason: this.slowness >= slowThreshold ? 'the instance is slower than the others of its group' : 'statements queue at the instance',
			slowness: Math.round(this.slowness * 100) / 100,
			queueingMilliseconds: Math.round(this.getQueueingMilliseconds(now)),
		};
	}

	/** Returns the average queueing time, in milliseconds. */
	getQueueingMilliseconds(now: number): number {
		const queueing = this.#speed.getQueueing(now);
		return this.#responseTime * queueing / (this.slowness + queueing);
	}

	/** Returns the weight of the instance among those that may serve a read. */
	getWeight(now: number): number {
		return this.#speed.getWeight(now);
	}

	/** Returns the estimated round trip in milliseconds. */
	getDistance(isLocalZone: boolean): number {
		return this.#distance.get(isLocalZone) + (this.#report?.distance ?? 0);
	}

	/**
	 * Creates the report of a gateway about the instance.
	 *
	 * @param waited - Time that the statement waited for a connection, in milliseconds.
	 */
	createReport(waited: number): GatewayReport {
		return {waited, limit: this.limit, slowness: this.slowness, distance: this.getDistance(true)};
	}

	/** Records the time until a connection was accepted, in milliseconds. */
	recordRoundTrip(milliseconds: number): void {
		this.#distance.addRoundTrip(milliseconds);
	}

	/** Records that the instance does not respond. When it does again, it receives few reads at first. */
	recordUnresponsive(now: number): void {
		this.#speed.restart(now);
	}

	/**
	 * Adds the response to a statement that ran. A refusal is no sample: it is fast because nothing ran.
	 *
	 * @returns The service time in milliseconds, or `undefined` if the statement may have queued.
	 */
	add({milliseconds, statementClass, inFlight, report}: ServiceSample, now: number): number | undefined {
		const {groupTimes, getSlots} = this.#options;
		this.#responseTime += responseTimeWeight * (milliseconds - this.#responseTime);
		const atInstance = Math.max(0, milliseconds - (report?.waited ?? 0));
		this.#distance.addResponse(atInstance);
		this.#window.add(atInstance, statementClass);
		this.#report = report;
		const serviceMilliseconds = Math.max(0, atInstance - this.getDistance(true));
		const ratio = groupTimes.compare(statementClass, serviceMilliseconds);
		this.#speed.addQueueing(ratio - this.slowness, now);
		const mayHaveQueued = inFlight > Math.max(1, getSlots() / 2) && now - this.#serviceSampledAt < maximumServiceSampleAge;
		if (report) {
			this.#speed.adopt(report.slowness);
		} else if (!mayHaveQueued) {
			this.#speed.addRatio(ratio);
		}

		if (mayHaveQueued) {
			return undefined;
		}

		this.#serviceSampledAt = now;
		return serviceMilliseconds;
	}
}
