/** Assigns each instance to the host through which all its work passes. */
export type OwnershipTable = {
	/**
	 * Returns the live host that owns an instance.
	 *
	 * @param instance - Name of the instance.
	 * @returns The name of the host, or `undefined` when the instance or a live host is unknown.
	 */
	getOwner(instance: string): string | undefined;

	/**
	 * Returns the position of this host in the order in which hosts would promote in a group: 0 for the first.
	 *
	 * @param group - Name of the group.
	 */
	getPromotionOrder(group: string): number | undefined;

	/** Returns the names of the instances that this host owns. */
	getOwnedInstances(): readonly string[];

	/**
	 * Subscribes to changes of the owned instances.
	 *
	 * @param listener - Called after each change.
	 */
	subscribe(listener: () => void): Disposable;
};
