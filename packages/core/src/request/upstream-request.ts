import {type AcknowledgementMode} from './acknowledgement-mode.js';
import {type LogPosition} from './log-position.js';
import {type Rank} from './rank.js';
import {type RefusalReason} from './refusal-reason.js';
import {type RequestKind} from './request-kind.js';
import {type TransactionStatus} from './transaction-status.js';
import {type Verdict} from './verdict.js';

/** Statement unit that an entry host sends to the owner of an instance. All fields can be encoded as CBOR. */
export type UpstreamRequest = {
	/** Identifier that is unique in the fleet. */
	readonly requestIdentifier: string;
	readonly customer: string;
	readonly rank: Rank;
	readonly group: string;
	/** Name of the instance that runs the unit. */
	readonly upstream: string;
	readonly kind: RequestKind;
	/** Frontend messages for the upstream. The last one is Query or Sync. */
	readonly messages: Uint8Array;
	/** Indexes, from 0, of the ParseComplete messages in the response that are not forwarded to the caller. */
	readonly hiddenParseCompletes: readonly number[];
	/** Set if the unit begins a transaction or belongs to an open one. */
	readonly transactionIdentifier?: string;
	/** True for the unit that begins the transaction named by `transactionIdentifier`. */
	readonly beginsTransaction: boolean;
	/** Remaining time until the response counts as late, in milliseconds; negative if it is already late. */
	readonly targetMilliseconds: number;
	/** Remaining time until the request times out, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Refund for a late response, in the currency unit of the contract. */
	readonly lateRefund: number;
	/** Refund for a refusal, in the currency unit of the contract. */
	readonly refusedRefund: number;
	/** Weight of the customer among customers that share a group. */
	readonly customerWeight: number;
	/** Share of slot time, from 0 to 1, that is reserved for the rank while it has waiting requests. */
	readonly floorShare: number;
	/** Lowest log position that the instance must have applied before it runs a read. */
	readonly minimumPosition?: LogPosition;
	/** Maximum time that a read waits until the instance reaches `minimumPosition`, in milliseconds. */
	readonly catchUpMilliseconds: number;
	readonly acknowledgement: AcknowledgementMode;
	readonly idempotencyKey?: string;
	/** Version of the configuration that applied when the request began. */
	readonly configurationVersion: number;
};

/** Load of an instance, reported by its owner with every result. */
export type UpstreamLoad = {
	/** Expected wait in the queue for each rank, in milliseconds. */
	readonly expectedWaitMilliseconds: Readonly<Record<Rank, number>>;
	/** Smoothed service time of one statement, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Last known log position of the instance. */
	readonly position?: LogPosition;
};

/** Reason why a request was not answered by an upstream. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly message: string;
	/** Time after which the caller should retry, in milliseconds from now. */
	readonly retryAfterMilliseconds?: number;
};

/** Result of an `UpstreamRequest`. */
export type UpstreamResult = {
	readonly verdict: Verdict;
	/** Transaction status after the unit; `Idle` if the transaction or the connection was lost. */
	readonly transactionStatus: TransactionStatus;
	/** Log position that includes the effects of an acknowledged write. */
	readonly position?: LogPosition;
	/** Set if no complete response of an upstream was forwarded. */
	readonly refusal?: Refusal;
	readonly load?: UpstreamLoad;
};

/** Receiver of the backend messages of a response. */
export type ResponseSink = {
	/**
	 * Writes complete backend messages, without ReadyForQuery.
	 *
	 * @param messages - Bytes of one or more complete messages.
	 * @returns A promise that resolves when the receiver can accept more (backpressure).
	 */
	write(messages: Uint8Array): Promise<void>;
};
