import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {rankDelegates, usesDelegates} from '../request/delegate-plan.js';
import {type DelegateClient} from './delegate-client.js';
import {type DelegateServer} from './delegate-server.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {type HostRegistration} from './host-registration.js';
import {type LeaseKeeper} from './lease-keeper.js';
import {authorityMarginMilliseconds, authorityMilliseconds, type PrimaryAuthority} from './primary-authority.js';
import {type StoreFollower} from './store-follower.js';
import {type StoreView} from './store-view.js';

/** Time for which a host that starts waits for the first snapshot before it asks for a lease, in milliseconds. */
const firstSnapshotMilliseconds = 1000;

/** Time for which a host keeps a lease of its own at least, in milliseconds, so that a delegate that restarts is not replaced twice. */
const minimumDirectMilliseconds = 2000;

/** Remaining time of a host's own authority below which it asks delegates as well, in milliseconds. Renewals usually keep 600. */
const lowAuthorityMilliseconds = 400;

/** Time since the last lease renewal after which the store is considered not to respond to this host, in milliseconds. */
const renewalToleranceMilliseconds = 1000;

/** Time after which delegates are asked again when all of them have failed, in milliseconds. */
const retryDelayMilliseconds = 1000;

/** Time for which no delegate has reached the store after which a host tries it itself, in milliseconds. Most outages end earlier. */
const storeLossMilliseconds = 2000;

/** Time for which a lease holder may obtain a new lease after a restoration of the store before it asks delegates, in milliseconds. */
const restorationToleranceMilliseconds = 500;

/** How a host follows the shared store and obtains authority to use primaries. */
export enum AccessMode {
	/** The host has just started and knows neither the fleet nor a delegate. */
	Starting = 'starting',
	/** The host watches the store and holds a lease. */
	Direct = 'direct',
	/** The host asks a delegate. */
	Delegated = 'delegated',
}

/** Dependencies of a `FleetAccess`. */
export type FleetAccessOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly fleet: FleetView;
	readonly view: StoreView;
	readonly follower: StoreFollower;
	readonly leaseKeeper: LeaseKeeper;
	readonly client: DelegateClient;
	readonly server: DelegateServer;
	readonly registration: HostRegistration;
	readonly authority: PrimaryAuthority;
	/** Whether this host is replacing a primary. */
	isPromoting(): boolean;
};

/**
 * Decides whether this host follows the store itself or through a delegate.
 *
 * In a small fleet each host does so itself. In a large fleet one host of each zone does, and another host of the zone takes
 * over as soon as a follower asks it. A host whose delegates all fail obtains a lease of its own, and one whose store calls
 * fail asks delegates in addition.
 */
export class FleetAccess {
	readonly #options: FleetAccessOptions;
	readonly #handlers: Readonly<Record<AccessMode, (now: number) => void>> = {
		[AccessMode.Starting]: now => {
			this.#checkStarting(now);
		},
		[AccessMode.Direct]: now => {
			this.#checkDirect(now);
		},
		[AccessMode.Delegated]: now => {
			this.#checkDelegated(now);
		},
	};

	#startedAt: number | undefined;
	#mode = AccessMode.Starting;
	#modeSince = 0;
	#eraEnteredAt = Number.NEGATIVE_INFINITY;
	#clientStartedAt = Number.NEGATIVE_INFINITY;
	#ranking: {readonly membershipChanges: number; readonly names: readonly string[]} | undefined;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: FleetAccessOptions) {
		this.#options = options;
	}

	/** Present mode. */
	get mode(): AccessMode {
		return this.#mode;
	}

	/** Whether the store responds to this host. A watch notices the loss of its connection only at its end. */
	get hasOwnStore(): boolean {
		const {follower, authority, timer} = this.#options;
		return this.#mode === AccessMode.Direct && follower.isAvailable && timer.now() - authority.leaseRenewalRequestedAt < renewalToleranceMilliseconds;
	}

	/** Whether the store responds to this host or to its delegate. */
	get isStoreAvailable(): boolean {
		const {follower, client} = this.#options;
		return (this.#mode !== AccessMode.Delegated && follower.isAvailable) || client.isStoreAvailable;
	}

	/** Returns the names of the hosts that may be the delegate of this host's zone, the preferred one first. */
	getDelegates(): readonly string[] {
		const {fleet: {hosts, membershipChanges}, availabilityZone} = this.#options;
		if (this.#ranking?.membershipChanges !== membershipChanges) {
			const candidates = [...hosts].map(([name, {record}]) => ({name, availabilityZone: record.availabilityZone, capacity: record.capacity}));
			this.#ranking = {membershipChanges, names: rankDelegates(availabilityZone, candidates)};
		}

		return this.#ranking.names;
	}

	/** Obtains a lease of this host's own, because a follower asks this host. */
	handleFollower(): void {
		if (this.#mode === AccessMode.Delegated) {
			this.#becomeDirect('another host follows this one');
		}
	}

	/** Handles a new era of the store, in which all hosts have to obtain new leases. */
	handleEraEntered(): void {
		this.#eraEnteredAt = this.#options.timer.now();
	}

	/** Starts to watch the store. */
	start(): void {
		this.#startedAt = this.#options.timer.now();
		this.#options.follower.start();
	}

	/** Watches the store from now on, because it has granted a lease to this host. */
	handleLeaseGained(): void {
		if (this.#mode === AccessMode.Direct && !this.#options.follower.isRunning) {
			this.#options.follower.start();
		}
	}

	/** Chooses the first mode as soon as the first snapshot has been applied. */
	handleChangesApplied(): void {
		if (this.#mode === AccessMode.Starting) {
			this.#checkStarting(this.#options.timer.now());
		}
	}

	/** Changes the mode if necessary. Called periodically. */
	check(now: number): void {
		const {client, server} = this.#options;
		server.sweep(now);
		this.#handlers[this.#mode](now);
		client.check(now);
	}

	/** Stops following and renewing. */
	stop(): void {
		const {follower, leaseKeeper, client} = this.#options;
		follower.stop();
		leaseKeeper.stop();
		client.stop();
	}

	/** Chooses the first mode when the fleet is known. */
	#checkStarting(now: number): void {
		const {view, leaseKeeper} = this.#options;
		if (view.revision > 0 && this.#isLarge && !this.#isRequired) {
			this.#becomeDelegated();
		} else if (view.revision > 0 || (this.#startedAt !== undefined && now - this.#startedAt >= firstSnapshotMilliseconds)) {
			this.#setMode(AccessMode.Direct, 'started');
			leaseKeeper.start();
		}
	}

	/** Looks for a delegate if this host need not hold a lease, or if its renewals fail. */
	#checkDirect(now: number): void {
		const {authority, client} = this.#options;
		const isWeak = now - this.#eraEnteredAt >= restorationToleranceMilliseconds
			&& (authority.ownValidUntil - now < lowAuthorityMilliseconds || now - authority.leaseRenewalRequestedAt >= renewalToleranceMilliseconds);
		const mayFollow = this.#isLarge && !this.#isRequired && now - this.#modeSince >= minimumDirectMilliseconds;
		if (!this.#isLarge || (!isWeak && !mayFollow)) {
			client.stop();
		} else if (!client.isRunning || client.isExhausted) {
			this.#startClient(now);
		} else if (mayFollow && client.isStoreAvailable) {
			this.#becomeDelegated();
		}
	}

	/** Returns to a lease of this host's own if no delegate responds, or if this host should be the delegate. */
	#checkDelegated(now: number): void {
		const {client, registration} = this.#options;
		if (!this.#isLarge) {
			this.#becomeDirect('the fleet is small');
		} else if (this.getDelegates()[0] === this.#options.hostName) {
			this.#becomeDirect('this host is the preferred delegate');
		} else if (client.isExhausted) {
			this.#becomeDirect('no delegate responds');
		} else if (client.lacksStoreSince !== undefined && now - client.lacksStoreSince >= storeLossMilliseconds) {
			this.#becomeDirect('the store responds to no delegate');
		} else if (!registration.record.isDelegated && client.delegate !== undefined
			&& now - this.#modeSince >= authorityMilliseconds + authorityMarginMilliseconds && now >= this.#options.server.grantedUntil) {
			// From now on, promoters no longer wait for this host.
			registration.update({lease: 0, isDelegated: true});
		}
	}

	get #isLarge(): boolean {
		return usesDelegates(this.#options.fleet.hosts.size);
	}

	/** Whether this host must hold a lease of its own. */
	get #isRequired(): boolean {
		const {hostName, server, isPromoting} = this.#options;
		return server.followerCount > 0 || isPromoting() || this.getDelegates()[0] === hostName;
	}

	#startClient(now: number): void {
		const {client} = this.#options;
		if (!client.isRunning || now - this.#clientStartedAt >= retryDelayMilliseconds) {
			this.#clientStartedAt = now;
			client.start();
		}
	}

	#becomeDelegated(): void {
		const {follower, leaseKeeper, client, registration} = this.#options;
		follower.stop();
		leaseKeeper.stop();
		registration.update({});
		this.#setMode(AccessMode.Delegated, 'a delegate responds');
		if (!client.isRunning) {
			client.start();
		}
	}

	#becomeDirect(reason: string): void {
		const {leaseKeeper, registration} = this.#options;
		// The lease keeper writes the lease with the next version of the record, and gives no authority before it is stored.
		registration.prepare({isDelegated: false});
		leaseKeeper.start();
		this.#setMode(AccessMode.Direct, reason);
	}

	#setMode(mode: AccessMode, reason: string): void {
		this.#mode = mode;
		this.#modeSince = this.#options.timer.now();
		this.#options.log.write('store-access', {mode, reason, hosts: this.#options.fleet.hosts.size});
	}
}
