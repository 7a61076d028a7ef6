/** State of a host as this host believes it. */
export enum HostState {
	Live = 'live',
	/** Only this host itself: it has started and no peer has accepted it yet. It owns no instance. */
	Joining = 'joining',
	/** The host finishes its work and owns no instance. */
	Leaving = 'leaving',
	/** The host does not answer. */
	Unreachable = 'unreachable',
}

/** One host of the fleet. */
export type Host = {
	readonly name: string;
	readonly availabilityZone: string;
	/** IP address and port of the peer listener. */
	readonly peerAddress: string;
	readonly state: HostState;
	/** Greatest configuration version that the host reported. */
	readonly configurationVersion: number;
};

/** Hosts of the fleet, from own experience, from peers, and from the membership list, in this order of precedence. */
export type HostDirectory = {
	/** Name of this host. */
	readonly ownName: string;
	/** Returns all known hosts, this one included. */
	getHosts(): readonly Host[];
	/**
	 * Returns a host by name.
	 *
	 * @param name - Name of the host.
	 */
	getHost(name: string): Host | undefined;
	/**
	 * Subscribes to changes of the set or of a state.
	 *
	 * @param listener - Called after each change.
	 */
	subscribe(listener: () => void): Disposable;
};
