/** Request offered to one group, modelled as a job of a scheduling problem. Times are in milliseconds. */
export type Job = {
	/** Earliest time at which the group can start the job. */
	readonly releaseTime: number;
	/** Latest time at which the group can complete the job for the response to be on time. */
	readonly deadline: number;
	/** Slot time that the job requires. */
	readonly processingTime: number;
	/** Refund if the response is not on time. */
	readonly refund: number;
	/** Whether only the primary can execute the job. */
	readonly requiresPrimary: boolean;
};

/** Slots of one group. */
export type GroupSlots = {
	/** Number of slots of each instance. */
	readonly perInstance: number;
	readonly instances: number;
};

/**
 * Returns the maximum slot time that can be spent on jobs before their deadlines. This is a relaxation of the scheduling
 * problem: jobs can be split and preempted at any time, and a single job may use all slots at once.
 *
 * Earliest-deadline-first scheduling that drops overdue work is optimal for this relaxation. By an exchange argument, swapping
 * two pieces of work so that the one with the earlier deadline runs first never makes either of them miss its deadline.
 *
 * @param jobs - Jobs, in any order.
 * @param slotCount - Number of slots that can serve the jobs.
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

/** Returns the maximum slot time for jobs some of which require the primary: the smaller bound of two relaxations. */
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
 * Returns a lower bound for the refunds of one group under any schedule.
 *
 * The proof is in `docs/measurements.md`. Sort the jobs by refund per slot time (density), and let F(k) be the maximum slot
 * time that can be spent before their deadlines on the jobs with the k highest densities. Any schedule avoids refunds of at
 * most the sum over k of F(k) times the difference between density k and density k+1.
 *
 * @param jobs - All jobs of the group.
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
