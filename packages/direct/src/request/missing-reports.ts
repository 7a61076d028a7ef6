import {type InstanceProcess} from './synchronous-set.js';

/** Process whose report is needed, with the time for which it has been missing. */
export type MissingReport = InstanceProcess & {
	readonly milliseconds: number;
};

/** Remembers for how long the reports that a change of the primary needs have been missing. */
export class MissingReports {
	readonly #since = new Map<string, number>();

	/**
	 * Replaces the missing reports.
	 *
	 * @param missing - Processes whose reports are missing now.
	 * @param now - Monotonic time, in milliseconds.
	 */
	update(missing: readonly InstanceProcess[], now: number): MissingReport[] {
		const names = new Set(missing.map(process => getName(process)));
		for (const name of this.#since.keys()) {
			if (!names.has(name)) {
				this.#since.delete(name);
			}
		}

		return missing.map(process => {
			const name = getName(process);
			const since = this.#since.get(name) ?? now;
			this.#since.set(name, since);
			return {id: process.id, startedAt: process.startedAt, milliseconds: Math.round(now - since)};
		});
	}
}

function getName({id, startedAt}: InstanceProcess): string {
	return `${id}@${startedAt}`;
}
