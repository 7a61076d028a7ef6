/** Consistency guarantee of the reads of a route. */
export enum Consistency {
	/** Reads see every acknowledged commit. */
	Primary = 'primary',
	/** Reads see every commit that was acknowledged longer ago than the maximum staleness. */
	BoundedStaleness = 'bounded-staleness',
	/** Like `BoundedStaleness`; in addition, reads see the commits of their own session. */
	ReadYourWrites = 'read-your-writes',
}
