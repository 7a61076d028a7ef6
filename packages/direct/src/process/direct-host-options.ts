import {type RestorableStore} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerTransport} from '../connection/datagram-transport.js';
import {type PeerStreamTransport} from '../connection/peer-stream.js';
import {type DirectDialer} from '../connection/upstream-channel.js';
import {type LimitTolerance} from '../request/limit-tolerance.js';
import {type EventLog} from './event-log.js';
import {type PlatformFormats} from './platform-formats.js';
import {type PromotionService} from './promotion-service.js';

/** Options of a `DirectHost`. */
export type DirectHostOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly incarnation: string;
	/** Address of the host's peer listener, in the form `host:port`. */
	readonly peerAddress: string;
	readonly store: RestorableStore;
	/** Time within which a new configuration must be applied, in milliseconds. */
	readonly configurationMilliseconds: number;
	readonly formats: PlatformFormats;
	readonly dialer: DirectDialer;
	readonly promotions: PromotionService;
	/** Transport of the messages between hosts. */
	readonly peers: PeerTransport;
	/** Streams between delegates and their followers. */
	readonly delegates: PeerStreamTransport;
	/** Address at which other hosts follow this one, in the form `host:port`. */
	readonly delegateAddress: string;
	/** Processor time that the host may use, in cores. */
	readonly capacity: number;
	/**
	 * Whether all hosts of the fleet start at this time for the first time. They register before they read the records of the
	 * others, so that each sees the whole fleet at once.
	 */
	readonly isFirstStart: boolean;
	/** By how much the rate limits of workspaces may be exceeded. Without it they are kept exactly. */
	readonly rateLimits?: LimitTolerance | undefined;
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Returns the wall-clock time in milliseconds. */
	readWallClock(): number;
};
