/**
 * Weight of a new sample in the average of its class. It is small, because the averages describe how the classes differ and
 * not the present state of the instance.
 */
const sampleWeight = 0.002;

type ClassTime = {
	milliseconds: number;
	samples: number;
};

/**
 * Usual service times by class of statements, for a load whose mix changes: a time is only compared with times of the same
 * class.
 */
export class ClassTimes {
	readonly #times = new Map<number, ClassTime>();

	/**
	 * Compares a service time with the usual one of its class, and adds it.
	 *
	 * @param statementClass - Class, from `getStatementClass`.
	 * @param milliseconds - Service time.
	 * @param isUsual - Whether the sample may change the average; not during congestion.
	 * @returns The service time divided by the usual one; 1 for the first sample of a class.
	 */
	compare(statementClass: number, milliseconds: number, isUsual = true): number {
		const time = this.#times.get(statementClass);
		if (!time) {
			this.#times.set(statementClass, {milliseconds, samples: 1});
			return 1;
		}

		const ratio = time.milliseconds > 0 ? milliseconds / time.milliseconds : 1;
		if (isUsual) {
			time.samples++;
			// The first samples are averaged with equal weights.
			time.milliseconds += Math.max(1 / time.samples, sampleWeight) * (milliseconds - time.milliseconds);
		}

		return ratio;
	}
}
