import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';

/**
 * Time for which an instance may have been about to stop when it is promoted, in milliseconds. An instance must receive no
 * statements 7 s after it began to leave. Its promotion, and its own replacement afterwards, take up to 2.5 s.
 */
const maximumLeavingMilliseconds = 4500;

/** Report of an instance that may be promoted. */
export type CandidateReport = {
	readonly id: string;
	/** Time for which the instance has been about to stop, in milliseconds; `undefined` if it is not. */
	readonly leavingMilliseconds?: number;
	readonly isPrimary: boolean;
	readonly term: number;
	/** Last log position that the instance has received. */
	readonly received: LogPosition;
};

/** Change of the primary, as far as the choice of a candidate depends on it. */
export type CandidateSituation = {
	/** Term of the primary that is being replaced. */
	readonly term: number;
	/** Instance whose promotion was ordered last, or `undefined`. */
	readonly ordered?: string | undefined;
	/** Term that `ordered` led before its promotion was ordered, or `undefined`. */
	readonly orderedFromTerm?: number | undefined;
	/** Whether the promotion of `ordered` may still take effect. */
	readonly isOrderPending: boolean;
	/** Whether the promotion of an instance that nobody remembers may still take effect. */
	readonly isUnknownOrderPending: boolean;
	/** Number of instances that may be promoted, including those without a report. */
	readonly instances: number;
	/** Whether no acknowledged commit may be lost. */
	readonly isSynchronous: boolean;
	/** Position that covers every acknowledged commit, or `undefined` if none is known. Used only if `isSynchronous`. */
	readonly requiredPosition?: LogPosition | undefined;
};

/** Instance to be promoted. */
export type CandidateChoice = {
	readonly id: string;
	/**
	 * Term that the instance leads already, if another instance may have been promoted since; otherwise `undefined`. The
	 * instance is the primary only once it leads a later term, or once an accepted order has left this one unchanged.
	 */
	readonly fromTerm?: number;
};

/**
 * Chooses the instance to be promoted.
 *
 * While an earlier order may take effect, only the instance of that order is eligible: if hosts used another one, the order
 * would replace it behind their backs. Otherwise, the instance that leads the latest term is preferred, then the one with the
 * highest log position. Instances that are not about to stop go first; those that stop too soon to be replaced in time are
 * not eligible. If no acknowledged commit may be lost, nor is a replica that has not received the required position.
 *
 * @param allReports - Reports of the instances that responded.
 * @param situation - State of the change.
 * @returns The choice, or `undefined` if no instance is eligible at present.
 */
export function chooseCandidate(allReports: readonly CandidateReport[], situation: CandidateSituation): CandidateChoice | undefined {
	const {ordered, isOrderPending, isUnknownOrderPending} = situation;
	if (isUnknownOrderPending) {
		return undefined;
	}

	const reports = allReports.filter(report => (report.leavingMilliseconds ?? 0) <= maximumLeavingMilliseconds && isComplete(report, situation));

	if (isOrderPending) {
		const report = reports.find(({id}) => id === ordered);
		return report && createChoice(report, allReports, situation);
	}

	const [best] = reports.toSorted((left, right) => Number(left.leavingMilliseconds !== undefined) - Number(right.leavingMilliseconds !== undefined)
		|| getLedTerm(right, situation) - getLedTerm(left, situation)
		|| compareLogPositions(right.received, left.received));
	return best && createChoice(best, allReports, situation);
}

function createChoice(report: CandidateReport, reports: readonly CandidateReport[], situation: CandidateSituation): CandidateChoice {
	const {id} = report;
	const ledTerm = getLedTerm(report, situation);
	const isLatestLead = situation.ordered === id
		? ledTerm > (situation.orderedFromTerm ?? situation.term)
		: ledTerm > situation.term && !situation.isOrderPending && reports.length === situation.instances && reports.every(({term}) => term <= ledTerm);
	return ledTerm === 0 || isLatestLead ? {id} : {id, fromTerm: ledTerm};
}

/** Returns whether the promotion of an instance loses no commit that must survive. An instance that leads already was chosen as complete. */
function isComplete(report: CandidateReport, situation: CandidateSituation): boolean {
	const {isSynchronous, requiredPosition} = situation;
	return !isSynchronous || getLedTerm(report, situation) > situation.term
		|| (requiredPosition !== undefined && compareLogPositions(report.received, requiredPosition) >= 0);
}

/**
 * Returns the term that an instance leads, or 0 if it is a replica or leads an earlier term than the released primary. An instance
 * that leads the term of the released primary has taken over its log.
 */
function getLedTerm({isPrimary, term}: CandidateReport, situation: CandidateSituation): number {
	return isPrimary && term >= situation.term ? term : 0;
}
