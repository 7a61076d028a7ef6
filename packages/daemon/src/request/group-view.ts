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
	/** Greatest term to which the instance was raised. */
	readonly term: number;
	readonly promoter: string;
	/** Position of the newest entry that the instance holds. */
	readonly position: LogPosition;
	/** Log index at which the newest log term began. */
	readonly termStartIndex: number;
	/** Time since a replica last heard from its primary, in milliseconds; 0 on the primary. */
	readonly primarySilenceMilliseconds: number;
	readonly primaryAddress: string;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Monotonic time of this host at which the question was sent, in milliseconds. */
	readonly observedAt: number;
};

/** Primary of a group with its term. */
export type PrimaryView = {
	readonly instance: string;
	readonly term: number;
};

/** Knowledge of this host about the groups. */
export type GroupView = {
	/**
	 * Returns the primary with the greatest term that this host has heard of.
	 *
	 * @param group - Name of the group.
	 */
	getPrimary(group: string): PrimaryView | undefined;

	/**
	 * Returns the last status of an instance, if this host polls it.
	 *
	 * @param instance - Name of the instance.
	 */
	getStatus(instance: string): InstanceStatus | undefined;

	/**
	 * Takes over what another host reports. Older terms are ignored.
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
