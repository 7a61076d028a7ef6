import {type SharedStore} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type UpstreamDialer} from '../connection/upstream-channel.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {type HostMetrics} from './host-metrics.js';
import {type HostRegistration} from './host-registration.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {type PromotionService} from './promotion-service.js';
import {type StoreEra} from './store-era.js';
import {type SuspensionDetector} from './suspension-detector.js';

/** Dependencies of the classes that replace primaries. */
export type PromotionContext = {
	readonly hostName: string;
	readonly store: SharedStore;
	readonly timer: TimerService;
	/** Era of the store that this host goes by. */
	readonly era: StoreEra;
	readonly log: EventLog;
	readonly dialer: UpstreamDialer;
	readonly promotions: PromotionService;
	readonly metrics: HostMetrics;
	readonly registration: HostRegistration;
	readonly fleet: FleetView;
	/** Dedicated detector: each one reports a suspension only once, so it must not be shared with other parts. */
	readonly suspension: SuspensionDetector;
	/** Whether all hosts of the fleet started with this process for the first time. */
	readonly isFirstStart: boolean;
	/** Returns all groups. */
	getGroups(): Iterable<InstanceGroupState>;
	/** Whether the store had a record of a group in an earlier era. */
	wasRecorded(groupName: string): boolean;
	/** Whether this host holds a lease and may therefore make changes. */
	holdsLease(): boolean;
	/** Whether the store responds to this host. */
	isStoreAvailable(): boolean;
	/** Reads the records of the fleet and the configuration; returns whether the store responded. */
	readFleet(): Promise<boolean>;
	/** Reads the entries of the instances; returns whether the store responded. */
	readInstances(): Promise<boolean>;
	/**
	 * Waits until no follower of this host uses a primary that is being replaced.
	 *
	 * @param group - Group of the primary.
	 * @param change - Identifier of the change.
	 * @param isCurrent - Returns whether the change is still the latest one.
	 * @returns Names of the followers that have confirmed the change, or `undefined` if the wait has become needless.
	 */
	waitForFollowers(group: string, change: string, isCurrent: () => boolean): Promise<readonly string[] | undefined>;
};

/** Timeout of a call to the store or to the promotion service, in milliseconds. */
export const callTimeoutMilliseconds = 1000;

/** Interval at which confirmations and instance statuses are polled, in milliseconds. */
export const pollIntervalMilliseconds = 25;
