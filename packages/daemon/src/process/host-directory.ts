/** State of a host as known to this host. */
export enum HostState {
	Live = 'live',
	/** The host has started, but no peer has accepted it yet, so it owns no instance. Applies only to this host itself. */
	Joining = 'joining',
	/** The host finishes the requests in progress before it stops, and owns no instance. */
	Leaving = 'leaving',
	/** The host does not respond. */
	Unreachable = 'unreachable',
}

/** One host of the fleet. */
export type Host = {
	readonly name: string;
	readonly availabilityZone: string;
	/** IP address and port of the peer listener. */
	readonly peerAddress: string;
	readonly state: HostState;
	/** Highest configuration version that the host reported. */
	readonly configurationVersion: number;
};

/** Hosts of the fleet. Own observations take precedence over reports of peers, and those over the membership list. */
export type HostDirectory = {
	/** Name of this host. */
	readonly ownName: string;
	/** Returns all known hosts, including this one. */
	getHosts(): readonly Host[];
	/**
	 * Returns a host by name.
	 *
	 * @param name - Name of the host.
	 */
	getHost(name: string): Host | undefined;
	/**
	 * Subscribes to changes of the known hosts and their properties.
	 *
	 * @param listener - Called after each change.
	 */
	subscribe(listener: () => void): Disposable;
};
