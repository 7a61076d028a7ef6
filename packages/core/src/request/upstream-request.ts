import {type AcknowledgementMode} from './acknowledgement-mode.js';
import {type LogPosition} from './log-position.js';
import {type Rank} from './rank.js';
import {type RefusalReason} from './refusal-reason.js';
import {type RequestKind} from './request-kind.js';
import {type TransactionStatus} from './transaction-status.js';
import {type Verdict} from './verdict.js';

/** One statement unit on its way from the entry host to the owner of an instance. All fields survive CBOR. */
export type UpstreamRequest = {
	/** Unique in the fleet. */
	readonly requestIdentifier: string;
	readonly customer: string;
	readonly rank: Rank;
	readonly group: string;
	/** Name of the instance that shall run the unit. */
	readonly upstream: string;
	readonly kind: RequestKind;
	/** Front-end messages for the upstream, ending in Query or Sync. */
	readonly messages: Uint8Array;
	/** Ordinals, from 0, among the ParseComplete messages of the response that the caller must not receive. */
	readonly hiddenParseCompletes: readonly number[];
	/** Set when the unit begins a transaction or belongs to an open one. */
	readonly transactionIdentifier?: string;
	/** True for the unit that begins the transaction named by `transactionIdentifier`. */
	readonly beginsTransaction: boolean;
	/** Remaining time until the response counts as late, in milliseconds; negative when it is late already. */
	readonly targetMilliseconds: number;
	/** Remaining time until the request is given up, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Refund for a late response, in the currency unit of the contract. */
	readonly lateRefund: number;
	/** Refund for a refusal, in the currency unit of the contract. */
	readonly refusedRefund: number;
	/** Weight of the customer among customers that share a group. */
	readonly customerWeight: number;
	/** Share of slot time, from 0 to 1, that the rank keeps while it has work waiting. */
	readonly floorShare: number;
	/** Lowest log position that the instance must have applied before it runs a read. */
	readonly minimumPosition?: LogPosition;
	/** Time for which a read may wait until the instance reaches `minimumPosition`, in milliseconds. */
	readonly catchUpMilliseconds: number;
	readonly acknowledgement: AcknowledgementMode;
	readonly idempotencyKey?: string;
	/** Version of the configuration under which the request began. */
	readonly configurationVersion: number;
};

/** Load figures of an instance, reported by its owner with every result. */
export type UpstreamLoad = {
	/** Expected wait in the queue for each rank, in milliseconds. */
	readonly expectedWaitMilliseconds: Readonly<Record<Rank, number>>;
	/** Smoothed service time of one statement, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Last known log position of the instance. */
	readonly position?: LogPosition;
};

/** Details of a request that no upstream answered. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly message: string;
	/** Earliest sensible time for another try, in milliseconds from now. */
	readonly retryAfterMilliseconds?: number;
};

/** Outcome of one `UpstreamRequest`. */
export type UpstreamResult = {
	readonly verdict: Verdict;
	/** Status after the unit; `Idle` when the transaction or the connection is lost. */
	readonly transactionStatus: TransactionStatus;
	/** Position that contains the effects of an acknowledged write. */
	readonly position?: LogPosition;
	/** Set when no complete response of an upstream was passed on. */
	readonly refusal?: Refusal;
	readonly load?: UpstreamLoad;
};

/** Receiver of the back-end messages of a response. */
export type ResponseSink = {
	/**
	 * Takes whole back-end messages, without ReadyForQuery.
	 *
	 * @param messages - Bytes of one or more whole messages.
	 * @returns A promise that resolves when the receiver can take more (back pressure).
	 */
	write(messages: Uint8Array): Promise<void>;
};
