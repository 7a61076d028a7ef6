/** Work offered to one group. Times are in milliseconds. */
export type OfferedWork = {
	/** Earliest time at which the group can begin it. */
	readonly release: number;
	/** Latest time at which the group can end it so that the response is on time. */
	readonly due: number;
	/** Slot time. */
	readonly work: number;
	/** Refund if the response is not on time. */
	readonly refund: number;
	/** Whether only the primary can execute it. */
	readonly needsPrimary: boolean;
};

/** Slots of one group. */
export type GroupSlots = {
	/** Slots of one instance. */
	readonly perInstance: number;
	readonly instances: number;
};

/**
 * Returns the greatest amount of slot time that can be spent on the work before it is due, when work can be split and
 * interrupted at will and a single statement may use all slots at once.
 *
 * Serving whatever is due first, and dropping what is overdue, is optimal for this relaxation: exchanging two pieces of
 * work so that the one that is due first comes first never makes either miss its due time.
 *
 * @param works - Work, in any order.
 * @param rate - Slots that can serve it.
 */
export function getGreatestServedWork(works: readonly OfferedWork[], rate: number): number {
	const arrivals = works.filter(({release, due}) => due > release).toSorted((left, right) => left.release - right.release);
	const queue: Array<{readonly due: number; rest: number}> = [];
	let head = 0;
	let served = 0;
	let now = 0;
	const serveUntil = (end: number) => {
		while (head < queue.length && now < end) {
			const first = queue[head]!;
			const time = Math.max(0, Math.min(first.rest / rate, first.due - now, end - now));
			served += time * rate;
			first.rest -= time * rate;
			now += time;
			if (first.rest <= 1e-9 || first.due <= now) {
				head++;
			}
		}

		now = end;
	};

	for (const {release, due, work} of arrivals) {
		serveUntil(release);
		let index = queue.length;
		while (index > head && queue[index - 1]!.due > due) {
			index--;
		}

		queue.splice(index, 0, {due, rest: work});
	}

	serveUntil(Infinity);
	return served;
}

/** Greatest slot time for work of which a part needs the primary: the lesser of two relaxations. */
function getGreatestServed(works: readonly OfferedWork[], {perInstance, instances}: GroupSlots): number {
	const all = perInstance * instances;
	const reads = works.filter(({needsPrimary}) => !needsPrimary);
	const writes = works.filter(({needsPrimary}) => needsPrimary);
	return Math.min(
		getGreatestServedWork(works, all),
		getGreatestServedWork(writes, perInstance) + getGreatestServedWork(reads, all),
	);
}

/**
 * Returns a lower bound for the refunds of one group, whatever schedule serves it.
 *
 * The argument is in `docs/measurements.md`. Sort the work by refund per slot time (density) and let F(k) be the greatest
 * slot time that can be spent on time on the work of the k greatest densities. Any schedule saves at most the sum over k of
 * F(k) times the step from density k to density k+1.
 *
 * @param works - All work of the group.
 * @param slots - Slots of the group.
 */
export function getRefundLowerBound(works: readonly OfferedWork[], slots: GroupSlots): number {
	const densities = [...new Set(works.map(work => getDensity(work)))].toSorted((left, right) => right - left);
	let saved = 0;
	for (const [index, density] of densities.entries()) {
		const valuable = works.filter(work => getDensity(work) >= density);
		saved += (density - (densities[index + 1] ?? 0)) * getGreatestServed(valuable, slots);
	}

	let total = 0;
	for (const {refund} of works) {
		total += refund;
	}

	return Math.max(0, total - saved);
}

function getDensity({refund, work}: OfferedWork): number {
	return refund / work;
}
