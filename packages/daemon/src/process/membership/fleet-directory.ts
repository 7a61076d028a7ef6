import {
	z, MemberKind, MemberState, Verdict, type Logger, type Member, type MembershipList, type TimerService,
} from '@tarragonstack/core';
import {PeerMessageKind, type PeerNetwork} from '../../connection/peer-network.js';
import {PeerConnectionEvent, type PeerConnectionEventListener} from '../../connection/peer/peer-connection-event.js';
import {HostState, type Host, type HostDirectory} from '../host-directory.js';
import {
	compareHostRecords, fromHostEntry, hostEntrySchema, mergeHostRecords, toHostEntry, type HostEntry, type HostRecord,
} from './host-record.js';
import {chooseMonitoredPeers, getHeartbeatInterval} from './monitoring-ring.js';

/** Interval at which the directory runs due work and checks for pauses of the event loop, in milliseconds. */
const tickMilliseconds = 50;

/** Pause of the event loop after which missed heartbeats are not counted, in milliseconds. */
const eventLoopPauseMilliseconds = 200;

/** Number of heartbeats without a reply after which a host is unreachable. */
const missedHeartbeatLimit = 3;

/** Maximum number of changed records in one message, which keeps it below 1 KB. */
const maximumEntries = 8;

/**
 * Number of seeds or listed hosts up to which their records are sent to peers. In a larger fleet, each host reads them from
 * the membership list itself.
 */
const maximumHostsForListGossip = 64;

/** Heartbeat rounds between two attempts to reach an unreachable host, which detect the end of a partition. */
const roundsPerRecoveryAttempt = 5;

/** Base of the interval between two reads of the membership list, and the addition per host, in milliseconds. */
const listReadIntervalMilliseconds = 5000;
const listReadIntervalPerHostMilliseconds = 1700;

/** Minimum interval between two reads of the membership list, in milliseconds. */
const minimumListReadIntervalMilliseconds = 2000;
const listReadTimeoutMilliseconds = 2000;

/**
 * Time after which a starting host owns instances even if no peer has accepted it, in milliseconds. Peers refuse a host
 * that the membership list does not contain yet. Without the wait, the host would consider itself the only live one, own
 * all instances and open connections to each of them.
 */
const joinTimeoutMilliseconds = 3000;

/** Time after which an unreachable host that is not in the membership list is removed, in milliseconds. */
const unreachableRetentionMilliseconds = 600_000;

/** Heartbeat: configuration version, sequence number up to which records are sent, sequence number received, records. */
const messageSchema = z.tuple([
	z.number().int().nonnegative(),
	z.number().int().nonnegative(),
	z.number().int().nonnegative(),
	z.array(hostEntrySchema).max(maximumEntries + 1),
]);

type Message = z.infer<typeof messageSchema>;

/** Host named in the settings. */
export type HostSeed = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly peerAddress: string;
};

/** Options of `FleetDirectory`. */
export type FleetDirectoryOptions = {
	readonly own: HostSeed;
	readonly seeds: readonly HostSeed[];
	readonly network: PeerNetwork & {subscribeToConnectionEvents?(listener: PeerConnectionEventListener): Disposable};
	readonly membershipList?: MembershipList;
	readonly timerService: TimerService;
	readonly logger: Logger;
	/** Source of random numbers from 0 to 1. */
	readonly random?: () => number;
};

type StoredRecord = {
	record: HostRecord;
	/** Sequence number of the last change on this host; 0 for records that are not sent to peers. */
	sequence: number;
	changedAt: number;
};

/** Progress of the record exchange with a peer. */
type PeerSyncState = {
	/** Highest sequence number sent to the peer. */
	sent: number;
	/** Sequence number up to which the peer has received the records. */
	acknowledged: number;
	/** Sequence number of the peer up to which its records were received. */
	received: number;
	/** True if the peer's record of itself is older than the stored one, for example after its restart. */
	isOutdated: boolean;
};

/**
 * Hosts of the fleet. Heartbeats detect failures and carry changed records to the peers, as in the SWIM protocol.
 *
 * Control traffic of one host, sent and received, with m monitored peers and an interval of t seconds: an exchange consists
 * of a request of 34 bytes, a reply of 24 bytes and an acknowledgement, each with 52 bytes of TCP and IP headers, plus 44
 * bytes for TLS, in total 258 bytes. Per interval, a host takes part in m exchanges as caller and in m as callee:
 *
 *     heartbeats = 2 m 258 / t                            480 hosts: m = 4, t = 1.2 s    1,720 bytes/s
 *     list       = (hosts + databases) 500 / interval     1,580 entries, 821 s             962 bytes/s
 *     changes    = changes/s 2 m (258 + 60)               2,200 changes a day               65 bytes/s
 *     versions   = versions/s 2 2,000                     1,800 versions a day              83 bytes/s
 *
 * The sum at 480 hosts is 2,830 bytes/s. Tests check the sizes of the frames. The interval grows from 100 ms at 48 hosts to
 * 1.2 s at 480 hosts.
 */
export class FleetDirectory implements HostDirectory, Disposable {
	/** @inheritdoc */
	readonly ownName: string;
	readonly #options: FleetDirectoryOptions;
	readonly #random: () => number;
	readonly #records = new Map<string, StoredRecord>();
	readonly #versions = new Map<string, number>();
	readonly #syncStates = new Map<string, PeerSyncState>();
	readonly #ringWeights = new Map<string, number>();
	readonly #missCounts = new Map<string, number>();
	readonly #inFlight = new Set<string>();
	/** Hosts that must be checked even if they are not monitored, because a connection to them ended. */
	readonly #suspects = new Set<string>();
	/** Hosts that this host itself found unreachable. Its own observations take precedence over reports of peers. */
	readonly #failed = new Set<string>();
	readonly #listAddresses = new Map<string, string>();
	readonly #listeners = new Set<() => void>();
	readonly #subscriptions: Disposable[] = [];
	/** Peers that this host monitors; `undefined` after a change, until they are chosen again. */
	#monitored: readonly string[] | undefined;
	#sequence = 0;
	#lastTickAt = 0;
	#pauseCount = 0;
	#roundCount = 0;
	#nextRoundAt = 0;
	#lastRoundAt = 0;
	#earlyRoundRequested = false;
	#nextListReadAt = 0;
	#lastListReadAt = Number.NEGATIVE_INFINITY;
	#hasJoined = false;
	#joinDeadline = Number.POSITIVE_INFINITY;
	#stopped = false;

	/**
	 * @param options - Own host, seeds and dependencies.
	 */
	constructor(options: FleetDirectoryOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
		this.ownName = options.own.name;
		for (const seed of [...options.seeds, options.own]) {
			this.#addUnconfirmed({...seed, incarnation: 0, state: HostState.Live}, options.seeds.length <= maximumHostsForListGossip);
		}
	}

	/** Registers the heartbeat handler and starts sending heartbeats. */
	start(): void {
		const {network, timerService} = this.#options;
		network.handle(PeerMessageKind.Heartbeat, async (body, {peer}) => {
			if (this.#receive(peer, body)) {
				this.#missCounts.delete(peer);
			}

			if (this.#failed.has(peer)) {
				void this.#exchange(peer);
			}

			return this.#createMessage(peer);
		});
		const connectionSubscription = network.subscribeToConnectionEvents?.((host, event) => {
			this.#handleConnectionEvent(host, event);
		});
		if (connectionSubscription) {
			this.#subscriptions.push(connectionSubscription);
		}

		this.#lastTickAt = timerService.now();
		this.#joinDeadline = this.#lastTickAt + joinTimeoutMilliseconds;
		if (!this.#options.membershipList && this.#records.size === 1) {
			this.#join();
		}

		this.#nextRoundAt = this.#lastTickAt + (this.#random() * getHeartbeatInterval(this.#records.size));
		this.#nextListReadAt = this.#lastTickAt;
		this.#subscriptions.push(timerService.subscribe(tickMilliseconds, () => {
			this.#tick();
		}));
		this.#tick();
	}

	/** @inheritdoc */
	getHosts(): readonly Host[] {
		return [...this.#records.keys()].map(name => this.getHost(name)!);
	}

	/** @inheritdoc */
	getHost(name: string): Host | undefined {
		const stored = this.#records.get(name);
		if (!stored) {
			return undefined;
		}

		const {availabilityZone, peerAddress} = stored.record;
		const isJoining = name === this.ownName && !this.#hasJoined && stored.record.state === HostState.Live;
		const state = isJoining ? HostState.Joining : this.#getState(stored.record);
		return {
			name,
			availabilityZone,
			// The membership list contains the new address of a restarted host before its peers know it.
			peerAddress: state === HostState.Unreachable ? this.#listAddresses.get(name) ?? peerAddress : peerAddress,
			state,
			configurationVersion: this.#versions.get(name) ?? 0,
		};
	}

	/** @inheritdoc */
	subscribe(listener: () => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/**
	 * Sets the configuration version that heartbeats report, and requests an early heartbeat round if it is new.
	 *
	 * @param version - Version of the configuration that this host uses.
	 */
	setConfigurationVersion(version: number): void {
		if (version > (this.#versions.get(this.ownName) ?? 0)) {
			this.#versions.set(this.ownName, version);
			this.#requestEarlyRound();
		}
	}

	/** Marks this host as leaving, which cannot be undone. */
	setLeaving(): void {
		const {record} = this.#getOwn();
		this.#store({...record, state: HostState.Leaving});
	}

	/** Schedules an early read of the membership list, because an unknown host tried to connect. */
	reportUnknownHost(): void {
		this.#nextListReadAt = Math.min(this.#nextListReadAt, Math.max(this.#options.timerService.now(), this.#lastListReadAt + minimumListReadIntervalMilliseconds));
	}

	[Symbol.dispose](): void {
		this.#stopped = true;
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}
	}

	/** Adds a host from the seeds or the membership list that no peer has reported yet. */
	#addUnconfirmed(record: HostRecord, isGossiped: boolean): void {
		this.#sequence += Number(isGossiped);
		this.#records.set(record.name, {record, sequence: isGossiped ? this.#sequence : 0, changedAt: this.#options.timerService.now()});
	}

	#getOwn(): StoredRecord {
		return this.#records.get(this.ownName)!;
	}

	#getState(record: HostRecord): HostState {
		return this.#failed.has(record.name) ? HostState.Unreachable : record.state;
	}

	#tick(): void {
		const now = this.#options.timerService.now();
		this.#detectPause(now);
		this.#lastTickAt = now;
		if (now >= this.#joinDeadline) {
			this.#join();
		}

		const interval = getHeartbeatInterval(this.#records.size);
		if (now >= this.#nextRoundAt) {
			this.#nextRoundAt = now + interval - Math.min(tickMilliseconds, now - this.#nextRoundAt);
			this.#roundCount++;
			this.#startRound(now);
			if (this.#roundCount % roundsPerRecoveryAttempt === 0) {
				this.#attemptRecovery();
			}
		} else if (this.#earlyRoundRequested && now >= this.#lastRoundAt + (interval / 4)) {
			this.#startRound(now);
		}

		if (this.#options.membershipList && now >= this.#nextListReadAt) {
			const pause = listReadIntervalMilliseconds + (listReadIntervalPerHostMilliseconds * this.#records.size);
			this.#nextListReadAt = now + (pause * (0.75 + (this.#random() / 2)));
			this.#lastListReadAt = now;
			void this.#readMembershipList(this.#options.membershipList);
		}
	}

	/** Discards missed heartbeats after a pause of this process, because the replies may still wait in the sockets. */
	#detectPause(now: number): void {
		if (now - this.#lastTickAt > tickMilliseconds + eventLoopPauseMilliseconds) {
			this.#pauseCount++;
			this.#missCounts.clear();
			this.#lastTickAt = now;
		}
	}

	#startRound(now: number): void {
		this.#earlyRoundRequested = false;
		this.#lastRoundAt = now;
		for (const peer of new Set([...this.#getMonitored(), ...this.#suspects])) {
			void this.#exchange(peer);
		}
	}

	#attemptRecovery(): void {
		const unreachable = [...this.#records.values()].filter(({record}) => this.#getState(record) === HostState.Unreachable);
		const chosen = unreachable[Math.floor(this.#random() * unreachable.length)];
		if (chosen) {
			void this.#exchange(chosen.record.name);
		}
	}

	async #exchange(peer: string): Promise<void> {
		if (this.#inFlight.has(peer)) {
			return;
		}

		this.#inFlight.add(peer);
		const pauseCount = this.#pauseCount;
		const interval = getHeartbeatInterval(this.#records.size);
		const startedAt = this.#options.timerService.now();
		const reply = await this.#options.network.call(peer, PeerMessageKind.Heartbeat, this.#createMessage(peer), {
			// A reply that takes longer than one interval, for example under load, still proves that the peer is live.
			timeoutMilliseconds: (interval * missedHeartbeatLimit) - 1,
		});
		this.#inFlight.delete(peer);
		if (this.#stopped) {
			return;
		}

		if (reply.isOk() && this.#receive(peer, reply.value)) {
			this.#missCounts.delete(peer);
			this.#suspects.delete(peer);
			if (this.#failed.delete(peer)) {
				this.#monitored = undefined;
				this.#notify();
			}

			return;
		}

		const now = this.#options.timerService.now();
		this.#detectPause(now);
		if (pauseCount === this.#pauseCount) {
			this.#countMisses(peer, Math.max(1, Math.round((now - startedAt) / interval)), reply.isErr() && reply.error.verdict === Verdict.NotRun ? reply.error.message : 'no valid reply');
		}
	}

	#countMisses(peer: string, count: number, cause: string): void {
		const misses = (this.#missCounts.get(peer) ?? 0) + count;
		this.#missCounts.set(peer, misses);
		if (misses >= missedHeartbeatLimit) {
			this.#markUnreachable(peer, cause);
		}
	}

	#markUnreachable(peer: string, cause: string): void {
		this.#missCounts.delete(peer);
		this.#suspects.delete(peer);
		const stored = this.#records.get(peer);
		if (!stored || this.#failed.has(peer)) {
			return;
		}

		this.#options.logger.warn({peer, cause}, 'host is unreachable');
		this.#failed.add(peer);
		if (stored.record.state === HostState.Unreachable) {
			return;
		}

		this.#store({...stored.record, state: HostState.Unreachable});
	}

	#handleConnectionEvent(peer: string, event: PeerConnectionEvent): void {
		const stored = this.#records.get(peer);
		if (!stored || this.#stopped) {
			return;
		}

		if (event === PeerConnectionEvent.Refused) {
			this.#markUnreachable(peer, 'connection refused');
		} else if (event === PeerConnectionEvent.Connected) {
			if (this.#getState(stored.record) === HostState.Unreachable) {
				void this.#exchange(peer);
			}
		} else if (this.#getState(stored.record) !== HostState.Unreachable) {
			this.#suspects.add(peer);
			void this.#exchange(peer);
		}
	}

	#createMessage(peer: string): Message {
		const syncState = this.#getSyncState(peer);
		const all = [...this.#records.values()]
			.filter(stored => stored.sequence > syncState.acknowledged && stored.record.name !== peer)
			.toSorted((left, right) => left.sequence - right.sequence);
		const chosen = all.slice(0, maximumEntries);
		syncState.sent = chosen.length < all.length ? chosen.at(-1)!.sequence : this.#sequence;
		const entries: HostEntry[] = chosen.map(stored => toHostEntry(stored.record));
		const aboutPeer = this.#records.get(peer);
		if (aboutPeer && (aboutPeer.record.state !== HostState.Live || syncState.isOutdated)) {
			// The peer refutes a wrong record of itself with a greater incarnation.
			entries.push(toHostEntry(aboutPeer.record));
			syncState.isOutdated = false;
		}

		return [this.#versions.get(this.ownName) ?? 0, syncState.sent, syncState.received, entries];
	}

	#getSyncState(peer: string): PeerSyncState {
		let syncState = this.#syncStates.get(peer);
		if (!syncState) {
			syncState = {
				sent: 0, acknowledged: 0, received: 0, isOutdated: false,
			};
			this.#syncStates.set(peer, syncState);
		}

		return syncState;
	}

	#receive(peer: string, body: unknown): boolean {
		const parsed = messageSchema.safeParse(body);
		const known = this.#records.get(peer);
		if (!parsed.success || !known) {
			this.#options.logger.warn({peer}, 'ignored a heartbeat that is invalid or from an unknown host');
			return false;
		}

		const [version, sent, acknowledged, entries] = parsed.data;
		const syncState = this.#getSyncState(peer);
		syncState.received = sent;
		// After a restart, ignore acknowledgements of records that the previous process sent.
		syncState.acknowledged = acknowledged <= syncState.sent ? acknowledged : 0;
		this.#join();
		for (const entry of entries) {
			const received = fromHostEntry(entry);
			this.#merge(received);
			syncState.isOutdated ||= received.name === peer && compareHostRecords(this.#records.get(peer)!.record, received) > 0;
		}

		if (this.#versions.get(peer) !== version) {
			this.#versions.set(peer, version);
			this.#notify();
		}

		return true;
	}

	#merge(received: HostRecord): void {
		const known = this.#records.get(received.name)?.record;
		if (received.name === this.ownName) {
			this.#refute(received);
			return;
		}

		const merged = mergeHostRecords(known, received);
		if (merged !== known) {
			this.#store(merged);
			if (this.#failed.has(received.name) && merged.state !== HostState.Unreachable) {
				// A peer can reach the host. It may have restarted, or only this host cannot reach it.
				void this.#exchange(received.name);
			}
		}
	}

	#refute(received: HostRecord): void {
		const {record} = this.#getOwn();
		const differs = received.state !== record.state || received.peerAddress !== record.peerAddress || received.availabilityZone !== record.availabilityZone;
		if (received.incarnation > record.incarnation || (received.incarnation === record.incarnation && differs)) {
			this.#store({...record, incarnation: received.incarnation + 1});
		}
	}

	#store(record: HostRecord): void {
		const known = this.#records.get(record.name)?.record;
		this.#sequence++;
		this.#records.set(record.name, {record, sequence: this.#sequence, changedAt: this.#options.timerService.now()});
		this.#requestEarlyRound();
		if (known?.state !== record.state || known.peerAddress !== record.peerAddress || known.availabilityZone !== record.availabilityZone) {
			if (record.state !== HostState.Unreachable) {
				this.#missCounts.delete(record.name);
			}

			this.#monitored = undefined;
			this.#notify();
		}
	}

	#requestEarlyRound(): void {
		this.#earlyRoundRequested = true;
	}

	#getMonitored(): readonly string[] {
		if (!this.#monitored) {
			const reachable = [...this.#records.values()].filter(({record}) => this.#getState(record) !== HostState.Unreachable);
			this.#monitored = chooseMonitoredPeers(this.ownName, reachable.map(({record}) => record.name), this.#ringWeights);
		}

		return this.#monitored;
	}

	#join(): void {
		if (!this.#hasJoined) {
			this.#hasJoined = true;
			this.#notify();
		}
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	async #readMembershipList(list: MembershipList): Promise<void> {
		const members = await list.getMembers({kind: MemberKind.Host}, listReadTimeoutMilliseconds);
		if (this.#stopped) {
			return;
		}

		if (members.isErr()) {
			this.#options.logger.warn({error: members.error}, 'failed to read the membership list; continuing with the hosts that are known');
			return;
		}

		this.#applyMembershipList(members.value);
	}

	#applyMembershipList(members: readonly Member[]): void {
		this.#listAddresses.clear();
		if (members.every(({name}) => name === this.ownName) && this.#records.size === 1) {
			this.#join();
		}

		let changed = false;
		for (const member of members) {
			this.#listAddresses.set(member.name, member.address);
			if (!this.#records.has(member.name)) {
				changed = true;
				const state = member.state === MemberState.Leaving ? HostState.Leaving : HostState.Live;
				this.#addUnconfirmed({
					name: member.name, availabilityZone: member.availabilityZone, peerAddress: member.address, incarnation: 0, state,
				}, members.length <= maximumHostsForListGossip);
			}
		}

		changed = this.#removeExpiredHosts() || changed;
		if (changed) {
			this.#monitored = undefined;
			this.#notify();
		}
	}

	#removeExpiredHosts(): boolean {
		const changedBefore = this.#options.timerService.now() - unreachableRetentionMilliseconds;
		const seeds = new Set(this.#options.seeds.map(seed => seed.name));
		let changed = false;
		for (const [name, {record, changedAt}] of this.#records) {
			if (record.state === HostState.Unreachable && changedAt < changedBefore && !this.#listAddresses.has(name) && !seeds.has(name)) {
				this.#records.delete(name);
				this.#syncStates.delete(name);
				this.#failed.delete(name);
				this.#versions.delete(name);
				changed = true;
			}
		}

		return changed;
	}
}
