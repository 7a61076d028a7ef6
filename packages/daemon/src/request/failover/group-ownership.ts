/** The part of the ownership table that failure detection needs. `OwnershipTable` satisfies it. */
export type GroupOwnership = {
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
