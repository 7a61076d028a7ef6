import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerMessages} from '../connection/peer-messages.js';
import {entitlementMilliseconds, type TokenRequest} from '../request/zone-limits.js';
import {type EventLog} from './event-log.js';
import {type HostMetrics} from './host-metrics.js';
import {type LimitCoordinator, type Respond} from './limit-coordinator.js';
import {LimitMessageKind, maximumWorkspacesPerMessage, type LimitMessages} from './limit-messages.js';
import {type LimitPeers} from './limit-peers.js';

/** Interval between reports without new requests, in milliseconds. */
const reportIntervalMilliseconds = 400;

/** Time without a response after which the next host in the ranking is asked, in milliseconds. */
const responseTimeoutMilliseconds = 250;

/**
 * Time without a response after which operations that wait are taken to a second host, in milliseconds. An operation waits
 * for 100 ms. A process with a small share of a core stands still for longer than this at times.
 */
const substituteDelayMilliseconds = 35;

/** Time for which a host that did not respond is avoided, and interval between probes, in milliseconds. */
const avoidanceMilliseconds = 2000;

/** Time for which a host that is not available is avoided, in milliseconds. It may have just started. */
const unavailableMilliseconds = 300;

/** Time without a response from any coordinator after which a host uses only its own entitlement, in milliseconds. */
const isolationMilliseconds = 3000;

/** Additional time for which an entitlement stays with a former coordinator, in milliseconds. It covers the delay of the report. */
const entitlementMarginMilliseconds = 100;

/** Tokens that a coordinator has granted for one workspace. */
export type ReceivedGrant = {
	readonly workspace: string;
	readonly granted: number;
	/** Time until the next token, in milliseconds; 0 if operations may wait for the next response. */
	readonly retryMilliseconds: number;
};

/** Dependencies of a `LimitClient`. */
export type LimitClientOptions = {
	readonly hostName: string;
	/** Identifier of this process. */
	readonly incarnation: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	readonly messages: PeerMessages;
	readonly peers: LimitPeers;
	/** Coordinator of this host, if it is the first one of its zone that responds. */
	readonly coordinator: LimitCoordinator;
	/** Whether this host belongs to the fleet, so that no other host counts on its entitlement. */
	isEntitled(): boolean;
	/** Returns the counters and needs of the workspaces for which a report has news. */
	getRequests(now: number): TokenRequest[];
	/** Returns the counters and needs of the workspaces whose operations wait. */
	getWaitingRequests(now: number): TokenRequest[];
	/**
	 * Handles the response to a report.
	 *
	 * @param grants - Tokens.
	 * @param requestedAt - Monotonic time of the report, in milliseconds.
	 * @returns Whether further operations wait.
	 */
	handleGrants(grants: readonly ReceivedGrant[], requestedAt: number): boolean;
};

type Relation = {
	readonly coordinator: string;
	readonly session: string;
	/** Identifier of the coordinator's process, once it has responded. */
	incarnation: string | undefined;
	number: number;
	sentAt: number;
	isWaiting: boolean;
	/** Whether the coordinator releases the entitlement of this host with its next response. */
	isLast: boolean;
	/** Monotonic time until which the coordinator may use the entitlement of this host, in milliseconds. */
	entitledUntil: number;
};

/** Reports to the limit coordinator of the zone, and replaces one that does not respond. */
export class LimitClient {
	readonly #options: LimitClientOptions;
	readonly #avoidedUntil = new Map<string, number>();
	#relation: Relation | undefined;
	/** Relation to a second host for the operations that wait while the coordinator is silent. */
	#substitute: Relation | undefined;
	/** Preferred coordinator that is available again. */
	#successor: string | undefined;
	#sessions = 0;
	#entitledFrom = 0;
	#respondedAt: number | undefined;
	#isRequestDue = false;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: LimitClientOptions) {
		this.#options = options;
	}

	/** Coordinator that this host reports to, or `undefined`. */
	get coordinator(): string | undefined {
		return this.#relation?.coordinator;
	}

	/** Sends a report as soon as no other one is unanswered, after the other operations that have arrived were added. */
	requestSoon(): void {
		if (!this.#isRequestDue) {
			this.#isRequestDue = true;
			queueMicrotask(() => {
				this.#sendIfDue();
			});
		}
	}

	/** Sends a report if one is due, and replaces a coordinator that does not respond. Called at a fixed interval. */
	check(now: number): void {
		const relation = this.#relation;
		if (relation?.isWaiting && now - relation.sentAt >= responseTimeoutMilliseconds) {
			this.#leave(relation, avoidanceMilliseconds, 'no response in time');
		}

		if (!this.#relation || (!this.#relation.isWaiting && now - this.#relation.sentAt >= reportIntervalMilliseconds)) {
			this.#isRequestDue = true;
		}

		this.#sendIfDue();
		this.#askSubstitute(now);
		this.#probe(now);
	}

	/** Handles the response to a report. */
	handleGrants(message: LimitMessages[LimitMessageKind.Grants]): void {
		if (this.#substitute?.isWaiting && this.#substitute.session === message.session) {
			this.#handleSubstituteGrants(this.#substitute, message);
		} else {
			this.#handleCoordinatorGrants(message);
		}
	}

	/** Handles the response of a host that is not available as a coordinator. */
	handleUnavailable({session, number}: LimitMessages[LimitMessageKind.Unavailable]): void {
		const relation = this.#relation;
		if (relation?.isWaiting && relation.session === session && relation.number === number) {
			// Such a host does not use the entitlement, so that it can be passed on at once.
			relation.entitledUntil = Number.NEGATIVE_INFINITY;
			this.#leave(relation, unavailableMilliseconds, 'not available');
			this.requestSoon();
		}
	}

	/** Handles the response of a preferred host to a probe. */
	handleAvailable(from: string): void {
		const relation = this.#relation;
		const host = this.#options.peers.ownZone.find(name => this.#options.peers.getAddress(name) === from);
		if (host !== undefined && relation && this.#getBetterHosts(relation.coordinator).includes(host)) {
			this.#avoidedUntil.delete(host);
			this.#successor = host;
			this.requestSoon();
		}
	}

	#handleSubstituteGrants(substitute: Relation, {grants}: LimitMessages[LimitMessageKind.Grants]): void {
		substitute.isWaiting = false;
		this.#options.metrics.countLimitReport('substituted');
		// The coordinator may still have tokens for the operations for which the substitute had none.
		this.#options.handleGrants(grants.map(([workspace, granted]) => ({workspace, granted, retryMilliseconds: 0})), substitute.sentAt);
	}

	#handleCoordinatorGrants({session, number, incarnation, grants}: LimitMessages[LimitMessageKind.Grants]): void {
		const {timer, handleGrants, metrics} = this.#options;
		const relation = this.#relation;
		if (!relation?.isWaiting || relation.session !== session || relation.number !== number) {
			return;
		}

		metrics.countLimitReport('answered');
		relation.isWaiting = false;
		this.#respondedAt = timer.now();
		const isRestarted = relation.incarnation !== undefined && relation.incarnation !== incarnation;
		relation.incarnation = incarnation;
		if (isRestarted) {
			this.#startSession(relation.coordinator);
		}

		const hasNeeds = handleGrants(grants.map(([workspace, granted, retryMilliseconds]) => ({workspace, granted, retryMilliseconds})), relation.sentAt);
		if (this.#successor !== undefined && relation.isLast) {
			this.#startSession(this.#successor);
			this.#successor = undefined;
			this.#isRequestDue = true;
		}

		this.#isRequestDue ||= hasNeeds || number === 1 || this.#successor !== undefined;
		if (this.#isRequestDue) {
			queueMicrotask(() => {
				this.#sendIfDue();
			});
		}
	}

	#getBetterHosts(coordinator: string): readonly string[] {
		const {ownZone} = this.#options.peers;
		return ownZone.slice(0, Math.max(0, ownZone.indexOf(coordinator)));
	}

	/** Asks the first preferred host that is not avoided whether it is available again. */
	#probe(now: number): void {
		const {peers, messages, hostName} = this.#options;
		const relation = this.#relation;
		if (!relation || this.#successor !== undefined) {
			return;
		}

		const candidate = this.#getBetterHosts(relation.coordinator).find(name => now >= (this.#avoidedUntil.get(name) ?? 0));
		const address = candidate === undefined ? undefined : peers.getAddress(candidate);
		if (candidate === hostName) {
			this.#successor = hostName;
			this.requestSoon();
		} else if (candidate !== undefined && address !== undefined) {
			this.#avoidedUntil.set(candidate, now + avoidanceMilliseconds);
			messages.send(address, {kind: LimitMessageKind.Probe, session: relation.session, number: 0} satisfies LimitMessages[LimitMessageKind.Probe]);
		}
	}

	/**
	 * Takes waiting operations to the next host in the ranking while the coordinator is silent. The entitlement stays with the
	 * coordinator, so that the substitute grants what it has or borrows from other zones.
	 */
	#askSubstitute(now: number): void {
		const {hostName, peers} = this.#options;
		const relation = this.#relation;
		const isSubstituteAsked = this.#substitute?.isWaiting === true && now - this.#substitute.sentAt < responseTimeoutMilliseconds;
		if (!relation?.isWaiting || now - relation.sentAt < substituteDelayMilliseconds || isSubstituteAsked) {
			return;
		}

		const requests = this.#options.getWaitingRequests(now);
		const name = peers.ownZone.find(candidate => candidate !== relation.coordinator && (candidate === hostName || now >= (this.#avoidedUntil.get(candidate) ?? 0)));
		if (name !== undefined && requests.length > 0) {
			this.#substitute = this.#createRelation(name);
			this.#sendReport(this.#substitute, now, 0, requests);
		}
	}

	#leave(relation: Relation, milliseconds: number, reason: string): void {
		const {timer, log, metrics} = this.#options;
		metrics.countLimitReport('unanswered');
		this.#avoidedUntil.set(relation.coordinator, timer.now() + milliseconds);
		this.#entitledFrom = Math.max(this.#entitledFrom, relation.entitledUntil);
		this.#relation = undefined;
		this.#successor = undefined;
		this.#isRequestDue = true;
		log.write('limit-coordinator-left', {coordinator: relation.coordinator, reason});
	}

	#startSession(coordinator: string): Relation {
		this.#relation = this.#createRelation(coordinator);
		this.#options.log.write('limit-coordinator-chosen', {coordinator});
		return this.#relation;
	}

	#createRelation(coordinator: string): Relation {
		this.#sessions++;
		return {
			coordinator, session: `${this.#options.incarnation}/${this.#sessions}`, incarnation: undefined, number: 0, sentAt: Number.NEGATIVE_INFINITY, isWaiting: false, isLast: false,
			entitledUntil: Number.NEGATIVE_INFINITY,
		};
	}

	#choose(now: number): string | undefined {
		const {hostName, peers} = this.#options;
		this.#respondedAt ??= now;
		return now - this.#respondedAt >= isolationMilliseconds && peers.ownZone.includes(hostName)
			? hostName
			: peers.ownZone.find(name => name === hostName || now >= (this.#avoidedUntil.get(name) ?? 0));
	}

	#sendIfDue(): void {
		const {timer} = this.#options;
		if (!this.#isRequestDue || this.#relation?.isWaiting) {
			return;
		}

		const now = timer.now();
		const coordinator = this.#relation?.coordinator ?? this.#choose(now);
		if (coordinator !== undefined) {
			this.#isRequestDue = false;
			this.#send(this.#relation ?? this.#startSession(coordinator), now);
		}
	}

	#send(relation: Relation, now: number): void {
		const {peers, getRequests, isEntitled} = this.#options;
		relation.isLast = this.#successor !== undefined;
		// The first report passes no entitlement on. If it is not answered, because the coordinator does not run, the host need not
		// wait before it passes the entitlement on to another one.
		const passesEntitlement = relation.number > 0 && now >= this.#entitledFrom && isEntitled();
		if (passesEntitlement) {
			relation.entitledUntil = now + entitlementMilliseconds + entitlementMarginMilliseconds;
		}

		this.#sendReport(relation, now, passesEntitlement ? peers.hostCount : 0, getRequests(now));
	}

	#sendReport(relation: Relation, now: number, hosts: number, requests: readonly TokenRequest[]): void {
		const {hostName, peers, messages, coordinator} = this.#options;
		relation.number++;
		relation.sentAt = now;
		relation.isWaiting = true;
		const report: LimitMessages[LimitMessageKind.Report] = {
			kind: LimitMessageKind.Report, host: hostName, session: relation.session, number: relation.number, hosts, isLast: relation.isLast,
			requests: requests.slice(0, maximumWorkspacesPerMessage).map(({workspace, received, returned, held, needed, ahead}) => [workspace, received, returned, held, needed, ahead]),
		};
		if (relation.coordinator === hostName) {
			void coordinator.handleReport(report, this.#respondLocally);
			return;
		}

		const address = peers.getAddress(relation.coordinator);
		if (address !== undefined) {
			messages.send(address, report);
		}
	}

	/** Handles the response of this host's own coordinator. */
	readonly #respondLocally: Respond = message => {
		if (message.kind === LimitMessageKind.Grants) {
			this.handleGrants(message);
		} else if (message.kind === LimitMessageKind.Unavailable) {
			this.handleUnavailable(message);
		}
	};
}
