/** Subset of `OwnershipTable` that failure detection uses. */
export type GroupOwnership = {
	/**
	 * Returns the place of this host in the order in which hosts attempt promotions in a group; 0 for the first.
	 *
	 * @param group - Name of the group.
	 */
	getPromotionOrder(group: string): number | undefined;
	/** Returns the names of the instances that this host owns. */
	getOwnedInstances(): readonly string[];
	/**
	 * Subscribes to changes of the set of owned instances.
	 *
	 * @param listener - Called after each change.
	 */
	subscribe(listener: () => void): Disposable;
};
