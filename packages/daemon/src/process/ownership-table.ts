/** Assigns each instance to its owner, the host through which all requests to the instance pass. */
export type OwnershipTable = {
	/**
	 * Returns the name of the live host that owns an instance.
	 *
	 * @param instance - Name of the instance.
	 * @returns The name, or `undefined` if the instance is unknown or no live host is known.
	 */
	getOwner(instance: string): string | undefined;

	/**
	 * Returns the position of this host in the order in which the owners of a group's instances attempt a promotion.
	 *
	 * @param group - Name of the group.
	 * @returns The position, 0 for the first host, or `undefined` if this host owns no instance of the group.
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
