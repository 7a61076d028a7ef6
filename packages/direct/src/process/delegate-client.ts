import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerStream, type PeerStreamTransport} from '../connection/peer-stream.js';
import {decodeChanges, type DelegateChanges, type DelegateGrant, type DelegateMessage, DelegateMessageKind, parseDelegateMessage} from './delegate-messages.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {type HostRegistration} from './host-registration.js';
import {type PrimaryAuthority} from './primary-authority.js';
import {type StoreEra} from './store-era.js';
import {type StoreView} from './store-view.js';

/** Interval between questions, in milliseconds. */
const questionIntervalMilliseconds = 250;

/**
 * Time without a response after which another delegate is asked, in milliseconds. A grant is valid for longer, so that the
 * next delegate can answer before it expires.
 */
const responseTimeoutMilliseconds = 250;

/** The same time for a host that has had no grant yet, in milliseconds. Its delegate may be starting as well. */
const firstResponseTimeoutMilliseconds = 1000;

/** Time for which a delegate may be without the store before another one is asked in addition, in milliseconds. */
const storeLossToleranceMilliseconds = 300;

/** First and greatest time for which a delegate that failed is not asked, in milliseconds. */
const initialAvoidanceMilliseconds = 2000;
const maximumAvoidanceMilliseconds = 8000;

/** Time after which a host tries to return to the delegate that is ranked first, in milliseconds. */
const returnIntervalMilliseconds = 5000;

/** Number of delegates that are asked in a row before the host obtains a lease of its own. */
const maximumAttempts = 3;

/** Dependencies of a `DelegateClient`. */
export type DelegateClientOptions = {
	readonly hostName: string;
	readonly transport: PeerStreamTransport;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly view: StoreView;
	readonly fleet: FleetView;
	readonly authority: PrimaryAuthority;
	/** Era of the store that this host goes by. */
	readonly era: StoreEra;
	readonly registration: HostRegistration;
	/** Returns the names of the hosts that may be delegates of this one, the preferred one first. */
	getCandidates(): readonly string[];
};

type Connection = {
	readonly stream: PeerStream;
	readonly delegate: string;
	readonly openedAt: number;
	/** Monotonic times at which questions were sent, by number. Grants that refer to other questions are ignored. */
	readonly sentAt: Map<number, number>;
	/** Monotonic time of the last response, or of the first question. */
	answeredAt: number;
	askedAt: number;
	hasGrant: boolean;
	/** Monotonic time since which the store has not responded to the delegate, or `undefined` if it responds. */
	storeLostAt: number | undefined;
};

type Avoidance = {until: number; milliseconds: number};

/** Obtains changes of the store and authority to use primaries from a delegate. */
export class DelegateClient {
	readonly #options: DelegateClientOptions;
	readonly #avoided = new Map<string, Avoidance>();
	#connection: Connection | undefined;
	/** Connection to another delegate while the store does not respond to the present one. */
	#alternative: Connection | undefined;
	#failedAlternatives = 0;
	#lacksStoreSince: number | undefined;
	#hasHadGrant = false;
	#isRunning = false;
	#number = 0;
	#failedAttempts = 0;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: DelegateClientOptions) {
		this.#options = options;
	}

	/** Whether the client asks delegates. */
	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Name of the delegate that has granted authority on the present stream, or `undefined`. */
	get delegate(): string | undefined {
		return this.#connection?.hasGrant ? this.#connection.delegate : undefined;
	}

	/** Whether the store responds to the delegate. */
	get isStoreAvailable(): boolean {
		return this.#connection?.hasGrant === true && this.#connection.storeLostAt === undefined;
	}

	/** Monotonic time since which the store has responded to none of several delegates, or `undefined`. */
	get lacksStoreSince(): number | undefined {
		return this.#lacksStoreSince;
	}

	/** Whether so many delegates failed in a row that the host has to obtain a lease of its own. */
	get isExhausted(): boolean {
		return this.#failedAttempts >= maximumAttempts;
	}

	/** Starts to ask delegates. */
	start(): void {
		this.#isRunning = true;
		this.#failedAttempts = 0;
		this.#failedAlternatives = 0;
		this.#lacksStoreSince = undefined;
		this.check(this.#options.timer.now());
	}

	/** Stops asking. Authority that was granted is kept until it expires. */
	stop(): void {
		this.#isRunning = false;
		this.#disconnect();
	}

	/** Asks again, with the present reports, and ignores grants for earlier questions. */
	restartGrant(): void {
		for (const connection of this.#connections) {
			connection.sentAt.clear();
			this.#ask(connection);
		}
	}

	/** Sends a question with the present reports. */
	ask(): void {
		for (const connection of this.#connections) {
			this.#ask(connection);
		}
	}

	/** Asks if a question is due, and replaces a delegate that does not respond. Called periodically. */
	check(now: number): void {
		if (!this.#isRunning) {
			return;
		}

		this.#connectIfNeeded(now);
		const timeout = this.#hasHadGrant ? responseTimeoutMilliseconds : firstResponseTimeoutMilliseconds;
		for (const connection of this.#connections) {
			const isWaiting = connection.askedAt > connection.answeredAt;
			if (isWaiting && now - connection.askedAt >= timeout) {
				this.#fail(connection, 'no response in time');
			} else if (!isWaiting && now - connection.askedAt >= questionIntervalMilliseconds) {
				this.#ask(connection);
			}
		}
	}

	get #connections(): Connection[] {
		return [this.#connection, this.#alternative].filter(connection => connection !== undefined);
	}

	#ask(connection: Connection): void {
		const {hostName, registration, view, timer} = this.#options;
		this.#number++;
		const now = timer.now();
		connection.sentAt.set(this.#number, now);
		if (connection.askedAt <= connection.answeredAt) {
			connection.askedAt = now;
		}

		const {incarnation, confirmed, suspected} = registration.record;
		this.#send(connection.stream, {
			kind: DelegateMessageKind.Question, number: this.#number, host: hostName, incarnation, revision: view.revision, confirmed: {...confirmed}, suspected: [...suspected],
		});
		for (const [number, sentAt] of connection.sentAt) {
			if (sentAt < now - firstResponseTimeoutMilliseconds) {
				connection.sentAt.delete(number);
			}
		}
	}

	/** Connects to a delegate, or to a second one while the store does not respond to the first one. */
	#connectIfNeeded(now: number): void {
		if (!this.#connection) {
			this.#connection = this.#connect(now);
			this.#failedAttempts = this.#connection ? this.#failedAttempts : maximumAttempts;
		} else if (this.#shouldReturn(this.#connection, now)) {
			this.#disconnect();
			this.#connection = this.#connect(now);
		} else if (!this.#alternative && now - (this.#connection.storeLostAt ?? now) >= storeLossToleranceMilliseconds) {
			this.#alternative = this.#connect(now, this.#connection.delegate);
			this.#failedAlternatives = this.#alternative ? this.#failedAlternatives : maximumAttempts;
		}

		if (this.#failedAlternatives >= maximumAttempts) {
			this.#lacksStoreSince ??= now;
		}
	}

	#shouldReturn({delegate, openedAt}: Connection, now: number): boolean {
		return now - openedAt >= returnIntervalMilliseconds && this.#findCandidate(now) !== delegate;
	}

	#findCandidate(now: number, except?: string): string | undefined {
		const {getCandidates, hostName, fleet} = this.#options;
		return getCandidates().find(name => name !== hostName && name !== except && now >= (this.#avoided.get(name)?.until ?? 0) && fleet.hosts.get(name)?.record.delegateAddress);
	}

	/** Connects to the preferred delegate that is not avoided. Returns `undefined` if there is none. */
	#connect(now: number, except?: string): Connection | undefined {
		const {transport, fleet} = this.#options;
		const delegate = this.#findCandidate(now, except);
		const address = delegate === undefined ? undefined : fleet.hosts.get(delegate)?.record.delegateAddress;
		if (delegate === undefined || address === undefined) {
			return undefined;
		}

		const stream = transport.open(address);
		const connection: Connection = {
			stream, delegate, openedAt: now, sentAt: new Map(), answeredAt: now - 1, askedAt: now - 1, hasGrant: false, storeLostAt: undefined,
		};
		stream.onMessage = message => {
			this.#handleMessage(connection, message);
		};

		stream.onClose = () => {
			this.#fail(connection, 'the stream was closed');
		};

		this.#ask(connection);
		return connection;
	}

	#handleMessage(connection: Connection, message: unknown): void {
		const parsed = parseDelegateMessage(message);
		if (parsed.isErr()) {
			this.#options.log.write('delegate-message-invalid', {reason: parsed.error, from: connection.delegate});
			this.#fail(connection, 'invalid message');
			return;
		}

		connection.answeredAt = this.#options.timer.now();
		const {value} = parsed;
		switch (value.kind) {
			case DelegateMessageKind.Changes: {
				this.#handleChanges(connection, value);
				break;
			}

			case DelegateMessageKind.Grant: {
				this.#handleGrant(connection, value);
				break;
			}

			case DelegateMessageKind.Unavailable: {
				this.#fail(connection, value.reason);
				break;
			}

			case DelegateMessageKind.Question: {
				this.#fail(connection, 'a question from a delegate');
				break;
			}
		}
	}

	#handleChanges(connection: Connection, message: DelegateChanges): void {
		const {view} = this.#options;
		const changes = decodeChanges(message);
		if (changes.isErr()) {
			this.#fail(connection, changes.error);
		} else if (message.isSnapshot) {
			view.applySnapshot('', changes.value.flatMap(change => change.removed ? [] : [change]), message.revision);
		} else {
			view.applyChanges(changes.value, message.revision);
		}
	}

	#handleGrant(connection: Connection, {number, remaining, proofAge, era: grantEra, isStoreAvailable}: DelegateGrant): void {
		const {authority, log, timer, era} = this.#options;
		const sentAt = connection.sentAt.get(number);
		connection.storeLostAt = isStoreAvailable ? undefined : connection.storeLostAt ?? timer.now();
		if (isStoreAvailable) {
			this.#failedAlternatives = 0;
			this.#lacksStoreSince = undefined;
			this.#keepOnly(connection);
		}

		// Authority of an earlier era says nothing about the changes of the present one.
		era.enter(grantEra, connection.delegate);
		if (sentAt === undefined || grantEra !== era.number) {
			return;
		}

		authority.acceptGrant(sentAt + remaining, sentAt - proofAge);
		this.#failedAttempts = 0;
		this.#hasHadGrant = true;
		this.#avoided.delete(connection.delegate);
		if (!connection.hasGrant) {
			connection.hasGrant = true;
			log.write('delegate-chosen', {delegate: connection.delegate});
		}
	}

	/** Closes the connection to another delegate than the given one, which then is the present one. */
	#keepOnly(connection: Connection): void {
		for (const other of this.#connections) {
			if (other !== connection) {
				other.stream[Symbol.dispose]();
			}
		}

		this.#connection = connection;
		this.#alternative = undefined;
	}

	#fail(connection: Connection, reason: string): void {
		const {log, timer} = this.#options;
		const {delegate, stream} = connection;
		stream[Symbol.dispose]();
		if (connection === this.#alternative) {
			this.#alternative = undefined;
			this.#failedAlternatives++;
		} else if (connection === this.#connection) {
			this.#connection = this.#alternative;
			this.#alternative = undefined;
			this.#failedAttempts++;
		} else {
			return;
		}

		const previous = this.#avoided.get(delegate)?.milliseconds ?? initialAvoidanceMilliseconds / 2;
		const milliseconds = Math.min(maximumAvoidanceMilliseconds, previous * 2);
		this.#avoided.set(delegate, {until: timer.now() + milliseconds, milliseconds});
		log.write('delegate-lost', {delegate, reason, avoidedMilliseconds: milliseconds});
		if (!this.isExhausted) {
			this.check(timer.now());
		}
	}

	#disconnect(): void {
		for (const {stream} of this.#connections) {
			stream[Symbol.dispose]();
		}

		this.#connection = undefined;
		this.#alternative = undefined;
	}

	#send(stream: PeerStream, message: DelegateMessage): void {
		stream.send(message);
	}
}
