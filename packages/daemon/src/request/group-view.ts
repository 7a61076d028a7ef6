import {type LogPosition} from '@tarragonstack/core';

/** Role of an instance in its group. */
export enum InstanceRole {
	Primary = 'primary',
	Replica = 'replica',
}

/** Last known status of an instance. */
export type InstanceStatus = {
	readonly instance: string;
	readonly role: InstanceRole;
	/** Greatest term that the instance has accepted. */
	readonly term: number;
	readonly promoter: string;
	/** Position of the newest log entry of the instance. */
	readonly position: LogPosition;
	/** Log index at which the term of the newest entry began. */
	readonly termStartIndex: number;
	/** Time since a replica last received a message from its primary, in milliseconds; 0 on the primary. */
	readonly primarySilenceMilliseconds: number;
	readonly primaryAddress: string;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Monotonic time of this host at which the status was requested, in milliseconds. */
	readonly observedAt: number;
};

/** Primary of a group with its term. */
export type PrimaryView = {
	readonly instance: string;
	readonly term: number;
};

/** State of the groups as observed by this host. */
export type GroupView = {
	/**
	 * Returns the known primary with the greatest term.
	 *
	 * @param group - Name of the group.
	 */
	getPrimary(group: string): PrimaryView | undefined;

	/**
	 * Returns the latest status of an instance, or `undefined` if this host does not poll it.
	 *
	 * @param instance - Name of the instance.
	 */
	getStatus(instance: string): InstanceStatus | undefined;

	/**
	 * Records a primary reported by another host. A primary whose term is not greater than the known one is ignored.
	 *
	 * @param group - Name of the group.
	 * @param primary - Primary with its term.
	 */
	learnPrimary(group: string, primary: PrimaryView): void;

	/**
	 * Subscribes to changes of the primary.
	 *
	 * @param listener - Receives the name of the group and the new primary.
	 */
	subscribe(listener: (group: string, primary: PrimaryView) => void): Disposable;
};
