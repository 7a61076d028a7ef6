import {type HostRecord} from './host-record.js';

const noHosts: ReadonlySet<string> = new Set();

/** Index of the suspicions in the records of all hosts. The periodic checks of every group read it on every host. */
export class SuspicionIndex {
	/** Suspected groups by the host in whose record they are, each with the names of the suspecting hosts. */
	readonly #reports = new Map<string, ReadonlyMap<string, readonly string[]>>();
	readonly #hostsByGroup = new Map<string, ReadonlySet<string>>();

	/** Returns the names of the hosts that suspect the primary of a group. */
	get(group: string): ReadonlySet<string> {
		return this.#hostsByGroup.get(group) ?? noHosts;
	}

	/**
	 * Replaces the suspicions in the record of a host.
	 *
	 * @param host - Name of the host.
	 * @param record - New record, or `undefined` if it was removed.
	 */
	update(host: string, record: HostRecord | undefined): void {
		const previous = this.#reports.get(host);
		const report = new Map<string, string[]>();
		for (const group of record?.suspected ?? []) {
			report.set(group, [host]);
		}

		for (const [group, names] of Object.entries(record?.followers.suspected ?? {})) {
			report.set(group, [...(report.get(group) ?? []), ...names]);
		}

		if (report.size > 0) {
			this.#reports.set(host, report);
		} else {
			this.#reports.delete(host);
		}

		for (const group of new Set([...(previous?.keys() ?? []), ...report.keys()])) {
			const names = [...this.#reports.values()].flatMap(suspicions => suspicions.get(group) ?? []);
			this.#hostsByGroup.set(group, new Set(names));
		}
	}
}
