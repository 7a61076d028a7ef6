/** Work offered to one group. Times are in milliseconds. */
export type Job = {
	/** Earliest time at which the group can begin it. */
	readonly releaseTime: number;
	/** Latest time at which the group can end it so that the response is on time. */
	readonly deadline: number;
	/** Slot time. */
	readonly processingTime: number;
	/** Refund if the response is not on time. */
	readonly refund: number;
	/** Whether only the primary can execute it. */
	readonly requiresPrimary: boolean;
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
 * @param jobs - Work, in any order.
 * @param slotCount - Slots that can serve it.
 */
export function getMaximumServedTime(jobs: readonly Job[], slotCount: number): number {
	const arrivals = jobs.filter(({releaseTime, deadline}) => deadline > releaseTime).toSorted((left, right) => left.releaseTime - right.releaseTime);
	const deadlineQueue: Array<{readonly deadline: number; remainingTime: number}> = [];
	let head = 0;
	let servedTime = 0;
	let now = 0;
	const serveUntil = (end: number) => {
		while (head < deadlineQueue.length && now < end) {
			const earliestJob = deadlineQueue[head]!;
			const time = Math.max(0, Math.min(earliestJob.remainingTime / slotCount, earliestJob.deadline - now, end - now));
			servedTime += time * slotCount;
			earliestJob.remainingTime -= time * slotCount;
			now += time;
			if (earliestJob.remainingTime <= 1e-9 || earliestJob.deadline <= now) {
				head++;
			}
		}

		now = end;
	};

	for (const {releaseTime, deadline, processingTime} of arrivals) {
		serveUntil(releaseTime);
		let index = deadlineQueue.length;
		while (index > head && deadlineQueue[index - 1]!.deadline > deadline) {
			index--;
		}

		deadlineQueue.splice(index, 0, {deadline, remainingTime: processingTime});
	}

	serveUntil(Infinity);
	return servedTime;
}

/** Greatest slot time for work of which a part needs the primary: the lesser of two relaxations. */
function getMaximumServedTimeOfGroup(jobs: readonly Job[], {perInstance, instances}: GroupSlots): number {
	const totalSlots = perInstance * instances;
	const reads = jobs.filter(({requiresPrimary}) => !requiresPrimary);
	const writes = jobs.filter(({requiresPrimary}) => requiresPrimary);
	return Math.min(
		getMaximumServedTime(jobs, totalSlots),
		getMaximumServedTime(writes, perInstance) + getMaximumServedTime(reads, totalSlots),
	);
}

/**
 * Returns a lower bound for the refunds of one group, whatever schedule serves it.
 *
 * The argument is in `docs/measurements.md`. Sort the work by refund per slot time (density) and let F(k) be the greatest
 * slot time that can be spent on time on the work of the k greatest densities. Any schedule saves at most the sum over k of
 * F(k) times the step from density k to density k+1.
 *
 * @param jobs - All work of the group.
 * @param slots - Slots of the group.
 */
export function getRefundLowerBound(jobs: readonly Job[], slots: GroupSlots): number {
	const densities = [...new Set(jobs.map(job => getRefundDensity(job)))].toSorted((left, right) => right - left);
	let avoidedRefund = 0;
	for (const [index, density] of densities.entries()) {
		const denseJobs = jobs.filter(job => getRefundDensity(job) >= density);
		avoidedRefund += (density - (densities[index + 1] ?? 0)) * getMaximumServedTimeOfGroup(denseJobs, slots);
	}

	let totalRefund = 0;
	for (const {refund} of jobs) {
		totalRefund += refund;
	}

	return Math.max(0, totalRefund - avoidedRefund);
}

function getRefundDensity({refund, processingTime}: Job): number {
	return refund / processingTime;
}
