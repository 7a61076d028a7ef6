import {ClassTimes} from './class-times.js';

/**
 * Ratios averaged for one adjustment of the window. The work of a statement varies by a factor of four within a class, so the
 * mean of fewer ratios is too noisy.
 */
const samplesPerAdjustment = 20;

/** Ratio of the mean ratio to the uncongested one above which the window shrinks. */
const congestedRatio = 2.5;

/** Ratio of the mean ratio to the uncongested one below which the window grows. */
const uncongestedRatio = 1.8;

/**
 * Weights of a new mean in the moving average of the uncongested ratio, for a mean below and above it. The
 * average also rises, slowly, because an instance may become slower permanently.
 */
const baselineDecreaseWeight = 0.2;
const baselineIncreaseWeight = 0.03;

/**
 * Limits the number of statements that a host has in flight at an instance.
 *
 * An instance serves its queue in order of arrival, regardless of priority. If all hosts used all their connections,
 * urgent statements would wait behind others inside the instance. The window shrinks as service times rise, so that
 * requests wait on the hosts, which order them by priority. Service times are compared within a class of statements, so
 * heavy statements that arrive together are not taken for congestion. `docs/design/learned-capacity.md` compares this with
 * other algorithms.
 */
export class CongestionWindow {
	readonly #getMaximum: () => number;
	#size = Number.POSITIVE_INFINITY;
	readonly #times = new ClassTimes();
	#samples = 0;
	#totalRatio = 0;
	#baseline: number | undefined;
	#isCongested = false;

	/**
	 * @param getMaximum - Returns the maximum size.
	 */
	constructor(getMaximum: () => number) {
		this.#getMaximum = getMaximum;
	}

	/** Maximum number of statements in flight. */
	get size(): number {
		return Math.min(this.#size, this.#getMaximum());
	}

	/**
	 * Adds a sample of the service time.
	 *
	 * @param milliseconds - Time from sending a statement to its response.
	 * @param statementClass - Class of the statement, from `getStatementClass`.
	 */
	add(milliseconds: number, statementClass = 0): void {
		this.#samples++;
		this.#totalRatio += this.#times.compare(statementClass, milliseconds, !this.#isCongested);
		if (this.#samples >= samplesPerAdjustment) {
			this.#adjustSize(this.#totalRatio / this.#samples);
			this.#samples = 0;
			this.#totalRatio = 0;
		}
	}

	#adjustSize(mean: number): void {
		const baseline = this.#baseline ?? mean;
		const ratio = mean / baseline;
		this.#baseline = baseline + ((ratio < 1 ? baselineDecreaseWeight : baselineIncreaseWeight) * (mean - baseline));
		this.#isCongested = ratio > uncongestedRatio;
		if (ratio > congestedRatio) {
			this.#size = Math.max(1, this.size - 1);
		} else if (ratio < uncongestedRatio) {
			this.#size = Math.min(this.#getMaximum(), this.size + 1);
		}
	}
}
