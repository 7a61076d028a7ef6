import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {LimitedStatementRunner, type RoutedStatementRunner} from '../connection/limited-statement-runner.js';
import {type PeerMessages} from '../connection/peer-messages.js';
import {createEffectiveLimit, getInitialTokens, type EffectiveLimit, type LimitTolerance} from '../request/limit-tolerance.js';
import {WorkspaceLimiter} from '../request/workspace-limiter.js';
import {type WorkspaceDirectory} from '../request/workspace-directory.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {type HostMetrics} from './host-metrics.js';
import {LimitClient} from './limit-client.js';
import {LimitCoordinator, type Respond} from './limit-coordinator.js';
import {LimitMessageKind, parseLimitMessage, type LimitMessages} from './limit-messages.js';
import {LimitPeers} from './limit-peers.js';
import {LimitRecorder} from './limit-recorder.js';

/** Time from the appearance of a new host in the view of the fleet until its entitlement counts, in milliseconds. The other hosts learn of it meanwhile. */
const joiningMilliseconds = 1500;

/** Tolerance if the settings state none. */
const noTolerance: LimitTolerance = {windowMilliseconds: 5000, overage: 0, slack: 0};

/** Dependencies of `WorkspaceLimits`. */
export type WorkspaceLimitsOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	/** Identifier of this process. */
	readonly incarnation: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	readonly messages: PeerMessages;
	readonly fleet: FleetView;
	/** By how much limits may be exceeded. Without it they are kept exactly. */
	readonly rateLimits?: LimitTolerance | undefined;
	/** Whether this host shuts down. */
	isLeaving(): boolean;
	/** Whether the fleet counts this host. A host that is cut off may have been replaced. */
	isAuthorized(): boolean;
	/** Returns the workspaces of the configuration in force, or `undefined` if there are none. */
	getWorkspaces(): WorkspaceDirectory | undefined;
};

/** Rate limits of the workspaces on this host. Without limits in the configuration, it sends no messages and decides nothing. */
export class WorkspaceLimits {
	/** Decides on the operations of this host. */
	readonly limiter: WorkspaceLimiter;
	readonly #options: WorkspaceLimitsOptions;
	readonly #client: LimitClient;
	readonly #coordinator: LimitCoordinator;
	readonly #recorder: LimitRecorder;
	readonly #handlers: {readonly [Kind in LimitMessageKind]: (message: LimitMessages[Kind], respond: Respond, from: string) => void} = {
		[LimitMessageKind.Report]: (message, respond) => {
			void this.#coordinator.handleReport(message, respond);
		},
		[LimitMessageKind.Grants]: message => {
			this.#client.handleGrants(message);
		},
		[LimitMessageKind.Unavailable]: message => {
			this.#client.handleUnavailable(message);
		},
		[LimitMessageKind.Probe]: (message, respond) => {
			this.#coordinator.handleProbe(message, respond);
		},
		[LimitMessageKind.Available]: (_message, _respond, from) => {
			this.#client.handleAvailable(from);
		},
		[LimitMessageKind.LoanRequest]: (message, respond) => {
			this.#coordinator.handleLoanRequest(message, respond);
		},
		[LimitMessageKind.Loans]: message => {
			this.#coordinator.handleLoans(message);
		},
	};

	#workspaces: WorkspaceDirectory | undefined;
	#limits: ReadonlyMap<string, EffectiveLimit> | undefined;
	#joinedFrom: number | undefined;
	#hasSeenFleet = false;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: WorkspaceLimitsOptions) {
		const {fleet, availabilityZone, metrics, log, timer, rateLimits = noTolerance} = options;
		this.#options = options;
		this.#recorder = new LimitRecorder(metrics, log);
		this.limiter = new WorkspaceLimiter(this.#recorder, () => {
			this.#client.requestSoon();
		});
		const peers = new LimitPeers(fleet, availabilityZone);
		this.#coordinator = new LimitCoordinator({...options, peers, initialTokens: getInitialTokens(rateLimits), getLimits: () => this.#getLimits()});
		this.#client = new LimitClient({
			...options, peers, coordinator: this.#coordinator,
			isEntitled: () => this.#isEntitled(timer.now()),
			getRequests: now => this.limiter.getRequests(now),
			getWaitingRequests: now => this.limiter.getWaitingRequests(now),
			handleGrants: (grants, requestedAt) => {
				const now = timer.now();
				for (const grant of grants) {
					this.limiter.handleGrant(grant, requestedAt, now);
				}

				return this.limiter.hasWaiting;
			},
		});
		for (const kind of Object.values(LimitMessageKind)) {
			this.#setHandler(kind);
		}
	}

	/** Number of hosts that report to this one as their limit coordinator. */
	get reportingHosts(): number {
		return this.#coordinator.hostCount;
	}

	/** Makes a runner admit each operation first. */
	limit(runner: RoutedStatementRunner): RoutedStatementRunner {
		return new LimitedStatementRunner(runner, this.limiter, this.#options.timer);
	}

	/** Applies a new configuration, and reports to the coordinator. Called at a fixed interval. */
	check(now: number): void {
		this.#observeMembership(now);
		if (!this.#getLimits()?.size) {
			return;
		}

		this.limiter.expire(now);
		this.#recorder.check(now);
		this.#client.check(now);
	}

	/** Applies the limits of a new configuration. */
	handleConfiguration(): void {
		this.#getLimits();
	}

	#setHandler<Kind extends LimitMessageKind>(kind: Kind): void {
		const {messages, log} = this.#options;
		messages.setHandler(kind, (message, from) => {
			const parsed = parseLimitMessage(kind, message);
			if (parsed.isErr()) {
				log.write('limit-message-invalid', {from, reason: parsed.error});
				return;
			}

			this.#handlers[kind](parsed.value, response => {
				messages.send(from, response);
			}, from);
		});
	}

	/** Returns the limits of the configuration in force by workspace, or `undefined` before one is known. */
	#getLimits(): ReadonlyMap<string, EffectiveLimit> | undefined {
		const {getWorkspaces, rateLimits = noTolerance} = this.#options;
		const workspaces = getWorkspaces();
		if (workspaces !== this.#workspaces) {
			this.#workspaces = workspaces;
			const limits = new Map<string, EffectiveLimit>();
			for (const {name, rateLimit} of workspaces?.byName.values() ?? []) {
				if (rateLimit) {
					limits.set(name, createEffectiveLimit(rateLimit, rateLimits));
				}
			}

			this.#limits = limits;
			this.limiter.setLimits(limits);
		}

		return this.#limits;
	}

	/** Notes when this host joined the fleet. A host that returns under its name is known to the others already. */
	#observeMembership(now: number): void {
		const {hosts} = this.#options.fleet;
		if (this.#joinedFrom !== undefined || hosts.size === 0) {
			return;
		}

		if (hosts.has(this.#options.hostName)) {
			this.#joinedFrom = this.#hasSeenFleet ? now + joiningMilliseconds : now;
		}

		this.#hasSeenFleet = true;
	}

	#isEntitled(now: number): boolean {
		const {fleet, hostName, isAuthorized} = this.#options;
		return this.#joinedFrom !== undefined && now >= this.#joinedFrom && fleet.hosts.has(hostName) && isAuthorized();
	}
}
