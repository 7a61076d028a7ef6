import {type Rank, type RequestKind} from '@tarragonstack/core';

/** Weight of a new sample in the mean, which covers about the last 20 statements of a class. */
const sampleWeight = 0.05;

/** Weight of a new sample in the baseline. Slowdowns are detected by comparison with the baseline. */
const baselineWeight = 0.0005;

/** Expected service time before the first measurement, in milliseconds. */
const initialServiceMilliseconds = 5;

/** Maximum number of classes. The least recently updated class is evicted. */
const maximumClasses = 2000;

/** Service time estimate of one class of statements, in milliseconds. */
export type ServiceTimeEstimate = {
	readonly mean: number;
	/** Mean absolute deviation from the mean. */
	readonly deviation: number;
	/** Mean over a much longer period. */
	readonly baseline: number;
	readonly sampleCount: number;
};

/** Properties by which statements are grouped into classes with similar service times. */
export type ServiceTimeClass = {
	readonly customer: string;
	readonly rank: Rank;
	readonly kind: RequestKind;
};

/** Exponentially weighted moving averages of the service times, by customer, rank and kind. */
export class ServiceTimeEstimates {
	readonly #estimates = new Map<string, ServiceTimeEstimate>();
	#overall: ServiceTimeEstimate = {
		mean: initialServiceMilliseconds, deviation: 0, baseline: initialServiceMilliseconds, sampleCount: 0,
	};

	#hasSample = false;

	/** Moving average of the service time of all statements, in milliseconds. */
	get overallMilliseconds(): number {
		return this.#overall.mean;
	}

	/**
	 * Returns the estimate of a class. A class without samples gets the estimate of all statements.
	 *
	 * @param serviceTimeClass - Class of the statement.
	 */
	get(serviceTimeClass: ServiceTimeClass): ServiceTimeEstimate {
		return this.#estimates.get(getKey(serviceTimeClass)) ?? this.#overall;
	}

	/**
	 * Adds a measured service time.
	 *
	 * @param serviceTimeClass - Class of the statement.
	 * @param milliseconds - Measured service time.
	 */
	add(serviceTimeClass: ServiceTimeClass, milliseconds: number): void {
		const key = getKey(serviceTimeClass);
		const known = this.#estimates.get(key);
		this.#estimates.delete(key);
		this.#estimates.set(key, known ? updateEstimate(known, milliseconds) : createFirstEstimate(milliseconds));
		this.#overall = this.#hasSample ? updateEstimate(this.#overall, milliseconds) : createFirstEstimate(milliseconds);
		this.#hasSample = true;
		if (this.#estimates.size > maximumClasses) {
			const [oldest] = this.#estimates.keys();
			this.#estimates.delete(oldest!);
		}
	}
}

function getKey({customer, rank, kind}: ServiceTimeClass): string {
	return `${customer}/${rank}/${kind}`;
}

function createFirstEstimate(milliseconds: number): ServiceTimeEstimate {
	return {
		mean: milliseconds, deviation: milliseconds / 4, baseline: milliseconds, sampleCount: 1,
	};
}

function updateEstimate(estimate: ServiceTimeEstimate, milliseconds: number): ServiceTimeEstimate {
	const difference = milliseconds - estimate.mean;
	// The first samples have equal weights. Otherwise the very first one would dominate the mean for a long time.
	const equalWeight = 1 / (estimate.sampleCount + 1);
	const weight = Math.max(sampleWeight, equalWeight);
	return {
		mean: estimate.mean + (weight * difference),
		deviation: estimate.deviation + (weight * (Math.abs(difference) - estimate.deviation)),
		baseline: estimate.baseline + (Math.max(baselineWeight, equalWeight) * (milliseconds - estimate.baseline)),
		sampleCount: estimate.sampleCount + 1,
	};
}
