import {type Result} from 'neverthrow';

/** State of a member in the platform's membership list. */
export enum MemberState {
	Live = 'live',
	Leaving = 'leaving',
}

/** Kind of a member of the platform's membership list. */
export enum MemberKind {
	/** A host that runs `tarragond`. */
	Host = 'host',
	/** A machine that runs a database instance; its name is the name of the instance. */
	Upstream = 'upstream',
}

/** One entry of the platform's membership list. */
export type Member = {
	readonly name: string;
	readonly kind: MemberKind;
	readonly availabilityZone: string;
	/** IP address and port of the peer listener of a host, or of the database of an upstream. */
	readonly address: string;
	readonly state: MemberState;
};

/** Selects members of the membership list. */
export type MemberQuery = {
	readonly kind: MemberKind;
	/**
	 * If set, returns only members with this state in their metadata. The service applies the filter, so that the replies to
	 * frequent queries do not grow with the fleet.
	 */
	readonly state?: MemberState;
};

/** The platform's list of live and leaving members. It may be out of date. */
export type MembershipList = AsyncDisposable & {
	/**
	 * Reads the members that match a query.
	 *
	 * @param query - Members to return.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	getMembers(query: MemberQuery, timeoutMilliseconds: number): Promise<Result<readonly Member[], string>>;
};
