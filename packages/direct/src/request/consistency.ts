/** Guarantee that reads of a route have. */
export enum Consistency {
	/** Reads see every acknowledged commit. */
	Primary = 'primary',
	/** Reads see every commit that was acknowledged longer ago than the permitted staleness. */
	BoundedStaleness = 'bounded-staleness',
	/** As `BoundedStaleness`, and reads see the commits of their own session. */
	ReadYourWrites = 'read-your-writes',
}
