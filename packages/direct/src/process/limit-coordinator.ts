import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerMessages} from '../connection/peer-messages.js';
import {type EffectiveLimit} from '../request/limit-tolerance.js';
import {type HostReport, type TokenGrant, ZoneLimits} from '../request/zone-limits.js';
import {type EventLog} from './event-log.js';
import {LimitMessageKind, type LimitMessage, type LimitMessages} from './limit-messages.js';
import {type LimitPeers} from './limit-peers.js';
import {LoanBroker, type LoanNeed} from './loan-broker.js';

/**
 * Number of hosts at the head of a zone's ranking whose buckets start with a part of the slack. If the hosts of a zone cannot
 * reach each other, each one is its own coordinator, and these parts would exceed the slack. The second and third host start with
 * less, because they may act beside the first one.
 */
const hostsWithInitialTokens = 3;

/** Dependencies of a `LimitCoordinator`. */
export type LimitCoordinatorOptions = {
	readonly hostName: string;
	readonly incarnation: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly messages: PeerMessages;
	readonly peers: LimitPeers;
	/** Tokens of each workspace that a new coordinator may grant at once. */
	readonly initialTokens: number;
	/** Whether this host shuts down. */
	isLeaving(): boolean;
	/** Returns the limits of the configuration in force, by workspace, or `undefined` before one is known. */
	getLimits(): ReadonlyMap<string, EffectiveLimit> | undefined;
};

/** Sends a response to the host whose message is handled. */
export type Respond = (message: LimitMessage) => void;

/** Limit coordinator of a zone: grants tokens to the hosts that report to it, and borrows from and lends to other zones. */
export class LimitCoordinator {
	readonly #options: LimitCoordinatorOptions;
	readonly #broker: LoanBroker;
	#zone: ZoneLimits | undefined;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: LimitCoordinatorOptions) {
		this.#options = options;
		this.#broker = new LoanBroker({
			...options,
			handleLoan: (loan, requestedAt) => {
				this.#zone?.borrow(loan, requestedAt);
			},
		});
	}

	/** Number of hosts that report to this one. */
	get hostCount(): number {
		return this.#zone?.hostCount ?? 0;
	}

	/** Handles the report of a host, which may be this one. */
	async handleReport(message: LimitMessages[LimitMessageKind.Report], respond: Respond): Promise<void> {
		const {timer, incarnation, isLeaving, getLimits} = this.#options;
		const {session, number} = message;
		const limits = getLimits();
		if (!limits || isLeaving()) {
			this.#zone?.removeHost(message.host, timer.now());
			respond({kind: LimitMessageKind.Unavailable, session, number});
			return;
		}

		const zone = this.#getZone(limits);
		const report = this.#createReport(message);
		const grants = zone.handleReport(report, timer.now());
		if (!grants) {
			return;
		}

		const missing = grants.filter(grant => grant.missing > 0);
		const borrowed = missing.length === 0 ? grants : await this.#borrow(zone, report, grants);
		if (message.isLast) {
			zone.removeHost(message.host, timer.now());
		}

		respond({
			kind: LimitMessageKind.Grants, session, number, incarnation,
			grants: borrowed.filter(({granted, missing}) => granted > 0 || missing > 0)
				.map(grant => [grant.workspace, grant.granted, grant.missing > 0 ? zone.reserveRetry(grant.workspace, timer.now()) : 0]),
		});
	}

	/** Handles a question of a host that may report to this one. */
	handleProbe({session, number}: LimitMessages[LimitMessageKind.Probe], respond: Respond): void {
		const isAvailable = this.#options.getLimits() !== undefined && !this.#options.isLeaving();
		respond({kind: isAvailable ? LimitMessageKind.Available : LimitMessageKind.Unavailable, session, number});
	}

	/** Handles a request of the coordinator of another zone. */
	handleLoanRequest({number, loans}: LimitMessages[LimitMessageKind.LoanRequest], respond: Respond): void {
		const {timer, getLimits} = this.#options;
		const now = timer.now();
		const zone = this.#zone;
		zone?.advance(now);
		const limits = getLimits();
		if (!zone || zone.hostCount === 0 || !limits) {
			respond({kind: LimitMessageKind.Loans, number, isCoordinator: false, loans: []});
			return;
		}

		zone.setLimits(limits, now);
		const lent = zone.lend(loans.map(([workspace, amount]) => ({workspace, amount})), now);
		respond({kind: LimitMessageKind.Loans, number, isCoordinator: true, loans: lent.map(({workspace, amount}) => [workspace, amount])});
	}

	/** Handles tokens that another zone has lent. */
	handleLoans(loans: LimitMessages[LimitMessageKind.Loans]): void {
		this.#broker.handleLoans(loans);
	}

	#getZone(limits: ReadonlyMap<string, EffectiveLimit>): ZoneLimits {
		const {hostName, peers, log, timer, initialTokens} = this.#options;
		if (!this.#zone) {
			const position = peers.ownZone.indexOf(hostName);
			this.#zone = new ZoneLimits(position !== -1 && position < hostsWithInitialTokens ? initialTokens / (position + 1) : 0);
			log.write('limit-coordinator-started', {position, workspaces: limits.size});
		}

		this.#zone.setLimits(limits, timer.now());
		return this.#zone;
	}

	#createReport({host, session, number, hosts, requests}: LimitMessages[LimitMessageKind.Report]): HostReport {
		return {
			host, session, number,
			// A host that is not registered has no entitlement, and of two views of the fleet, the larger one counts.
			share: hosts > 0 && this.#options.peers.getAddress(host) !== undefined ? 1 / Math.max(hosts, this.#options.peers.hostCount) : 0,
			requests: requests.map(([workspace, received, returned, held, needed, ahead]) => ({workspace, received, returned, held, needed, ahead})),
		};
	}

	/** Borrows tokens from other zones for the operations that wait, and grants them. */
	async #borrow(zone: ZoneLimits, report: HostReport, grants: readonly TokenGrant[]): Promise<TokenGrant[]> {
		const {timer} = this.#options;
		const askedAt = timer.now();
		const needs = grants.flatMap(({workspace, missing}): LoanNeed[] => {
			const amount = missing > 0 ? zone.getLoanRequest(workspace, missing, askedAt) : 0;
			return amount > 0 ? [{workspace, amount, missing}] : [];
		});
		await this.#broker.borrow(needs);
		const now = timer.now();
		return grants.map(grant => {
			if (grant.missing === 0) {
				return grant;
			}

			const granted = zone.grantRest(report, grant.workspace, grant.missing, now);
			if (granted < grant.missing && needs.some(({workspace}) => workspace === grant.workspace)) {
				zone.pauseLoans(grant.workspace, now);
			}

			return {...grant, granted: grant.granted + granted, missing: grant.missing - granted};
		});
	}
}
