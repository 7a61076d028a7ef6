import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerMessages} from '../connection/peer-messages.js';
import {type Loan} from '../request/zone-limits.js';
import {LimitMessageKind, maximumWorkspacesPerMessage, type LimitMessages} from './limit-messages.js';
import {type LimitPeers} from './limit-peers.js';

/** Time within which another zone has to answer, in milliseconds. An operation waits 100 ms for its coordinator. */
const answerTimeoutMilliseconds = 35;

/** Time for which a host that did not answer or is no coordinator is not asked, in milliseconds. */
const avoidanceMilliseconds = 2000;

/** Tokens that a zone asks for. */
export type LoanNeed = Loan & {
	/** Part of the amount for operations that wait. */
	readonly missing: number;
};

/** Dependencies of a `LoanBroker`. */
export type LoanBrokerOptions = {
	readonly timer: TimerService;
	readonly messages: PeerMessages;
	readonly peers: LimitPeers;
	/** Adds tokens that another zone has lent. */
	handleLoan(loan: Loan, requestedAt: number): void;
};

type Round = {readonly needs: Map<string, LoanNeed>; readonly done: Promise<void>};

/** Borrows tokens from the coordinators of other zones, in one round at a time and one zone after the other. */
export class LoanBroker {
	readonly #options: LoanBrokerOptions;
	readonly #avoidedUntil = new Map<string, number>();
	#number = 0;
	#answer: ((loans: LimitMessages[LimitMessageKind.Loans]) => void) | undefined;
	#firstZone = 0;
	#current: Promise<void> = Promise.resolve();
	#next: Round | undefined;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: LoanBrokerOptions) {
		this.#options = options;
	}

	/** Borrows tokens and resolves after the other zones have answered. Needs that arise meanwhile wait for the next round. */
	async borrow(needs: readonly LoanNeed[]): Promise<void> {
		if (needs.length === 0 || this.#options.peers.otherZones.length === 0) {
			return;
		}

		this.#next ??= this.#startRound();
		const {needs: collected, done} = this.#next;
		for (const need of needs) {
			const known = collected.get(need.workspace);
			collected.set(need.workspace, known ? {...need, amount: known.amount + need.missing, missing: known.missing + need.missing} : need);
		}

		return done;
	}

	/** Handles the answer of another zone. */
	handleLoans(loans: LimitMessages[LimitMessageKind.Loans]): void {
		if (loans.number === this.#number) {
			this.#answer?.(loans);
		}
	}

	#startRound(): Round {
		const needs = new Map<string, LoanNeed>();
		const done = this.#runRound(this.#current, needs);
		this.#current = done;
		return {needs, done};
	}

	async #runRound(previous: Promise<void>, needs: Map<string, LoanNeed>): Promise<void> {
		await previous;
		this.#next = undefined;
		const {otherZones} = this.#options.peers;
		this.#firstZone++;
		for (let index = 0; index < otherZones.length && needs.size > 0; index++) {
			const candidates = otherZones[(this.#firstZone + index) % otherZones.length]!;
			await this.#askZone(candidates, needs);
		}
	}

	/** Asks one zone and removes the needs that it has met. */
	async #askZone(candidates: readonly string[], needs: Map<string, LoanNeed>): Promise<void> {
		const {timer, messages, peers, handleLoan} = this.#options;
		const requestedAt = timer.now();
		const lender = candidates.find(name => requestedAt >= (this.#avoidedUntil.get(name) ?? 0));
		const address = lender === undefined ? undefined : peers.getAddress(lender);
		if (lender === undefined || address === undefined) {
			return;
		}

		this.#number++;
		const requested = [...needs.values()].slice(0, maximumWorkspacesPerMessage);
		const answered = this.#waitForAnswer();
		const request: LimitMessages[LimitMessageKind.LoanRequest] = {
			kind: LimitMessageKind.LoanRequest, number: this.#number, loans: requested.map(({workspace, amount}) => [workspace, amount]),
		};
		messages.send(address, request);
		const answer = await answered;
		if (!answer?.isCoordinator) {
			this.#avoidedUntil.set(lender, timer.now() + avoidanceMilliseconds);
			return;
		}

		for (const [workspace, amount] of answer.loans) {
			const need = needs.get(workspace);
			if (need) {
				handleLoan({workspace, amount: Math.min(amount, need.amount)}, requestedAt);
				needs.delete(workspace);
				if (amount < need.missing) {
					needs.set(workspace, {workspace, amount: need.amount - amount, missing: need.missing - amount});
				}
			}
		}
	}

	async #waitForAnswer(): Promise<LimitMessages[LimitMessageKind.Loans] | undefined> {
		return new Promise(resolve => {
			const finish = (loans?: LimitMessages[LimitMessageKind.Loans]) => {
				timeout[Symbol.dispose]();
				this.#answer = undefined;
				resolve(loans);
			};

			const timeout = this.#options.timer.schedule(answerTimeoutMilliseconds, finish);
			this.#answer = finish;
		});
	}
}
