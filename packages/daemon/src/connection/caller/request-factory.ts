import {randomUUID} from 'node:crypto';
import {type Contract, type LogPosition, RequestKind} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {
	type CallerRequest, type CallerSession, parseCommentOptions, type RequestOptions, selectRank,
} from '../../request/index.js';
import {type CallerError, SqlState} from './caller-error.js';
import {checkGroup, type SessionState} from './session-state.js';
import {type UnitPlan} from './unit-plan.js';
import {type StatementUnit} from './statement-unit.js';

/** Properties of the connection on which a request depends. */
export type RequestContext = {
	readonly contract: Contract;
	readonly configurationVersion: number;
	readonly user: string;
	readonly session: SessionState;
	/** Group of the open transaction. */
	readonly transactionGroup?: string;
};

/** Request and the session in which it runs. */
export type SessionRequest = {
	readonly request: CallerRequest;
	readonly callerSession: CallerSession;
	readonly usesSessionIdempotencyKey: boolean;
};

/**
 * Creates the request of a statement unit from the contract, the session options and the options in SQL comments.
 *
 * @param unit - Unit of the caller.
 * @param plan - Plan of the unit.
 * @param context - Contract, user and session.
 */
export function createRequest(unit: StatementUnit, plan: UnitPlan, context: RequestContext): Result<SessionRequest, CallerError> {
	const {session, contract} = context;
	const comments = parseCommentOptions(plan.analyses.flatMap(analysis => analysis.comments));
	if (comments.isErr()) {
		return err({code: SqlState.InvalidParameterValue, message: comments.error});
	}

	const options: RequestOptions = {...session.options, ...comments.value};
	const checked = checkGroup(comments.value.group, contract);
	if (checked.isErr()) {
		return err(checked.error);
	}

	const rank = options.rank ?? selectRank(contract, {
		user: context.user,
		applicationName: session.applicationName,
		text: plan.analyses.map(analysis => analysis.text).join('\n'),
	});
	const terms = contract.ranks[rank];
	const isWrite = plan.kind === RequestKind.Write;
	return ok({
		callerSession: getCallerSession(session.callerSession, comments.value, plan.kind),
		usesSessionIdempotencyKey: isWrite && options.idempotencyKey !== undefined && comments.value.idempotencyKey === undefined,
		request: {
			requestIdentifier: randomUUID(),
			customer: contract.customer,
			customerWeight: contract.weight,
			group: context.transactionGroup ?? comments.value.group ?? session.group,
			rank,
			contractTerms: terms,
			configurationVersion: context.configurationVersion,
			kind: plan.kind,
			messages: unit.messages,
			hiddenParseCompletes: unit.hiddenParseCompletes,
			beginsTransaction: plan.beginsTransaction,
			arrivedAt: unit.arrivedAt,
			// A lagging replica may not have the table of a write that the caller is about to execute.
			maximumStalenessMilliseconds: plan.describesWrite
				? 0
				: Math.min(terms.maximumStalenessMilliseconds, options.maximumStalenessMilliseconds ?? Infinity),
			...(isWrite && options.idempotencyKey !== undefined && {idempotencyKey: options.idempotencyKey}),
			repeatable: options.repeatable ?? terms.repeatable,
		},
	});
}

/** Applies the session identifier and position token of a statement. Transactions always use those of the connection. */
function getCallerSession(session: CallerSession, options: RequestOptions, kind: RequestKind): CallerSession {
	const overridesSession = options.session !== undefined || options.position !== undefined;
	if (!overridesSession || kind === RequestKind.Transaction) {
		return session;
	}

	const token: LogPosition | undefined = options.position ?? (options.session === undefined ? session.positionToken : undefined);
	return {identifier: options.session ?? session.identifier, positionToken: token, observedPositions: session.observedPositions};
}
