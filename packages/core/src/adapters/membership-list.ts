import {type Result} from 'neverthrow';

/** State of a member as the platform's list shows it. */
export enum MemberState {
	Live = 'live',
	Leaving = 'leaving',
}

/** Kind of a member of the platform's list. */
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

/** Selects members of the list. */
export type MemberQuery = {
	readonly kind: MemberKind;
	/**
	 * Returns only members whose metadata name this state. The service filters them, so that the reply of a frequent query
	 * does not grow with the fleet.
	 */
	readonly state?: MemberState;
};

/** The platform's list of live and leaving members. It lags behind the truth. */
export type MembershipList = AsyncDisposable & {
	/**
	 * Reads a part of the list.
	 *
	 * @param query - Members to return.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	getMembers(query: MemberQuery, timeoutMilliseconds: number): Promise<Result<readonly Member[], string>>;
};
