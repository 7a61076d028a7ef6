/** Event of the connection to a peer. */
export enum PeerConnectionEvent {
	/** A link was opened, by either side. */
	Connected = 'connected',
	/** The peer refused a connection attempt. */
	Refused = 'refused',
	/** A connection attempt timed out, or the last open link received no data in time. */
	Silent = 'silent',
	/** The last open link was closed, or a connection attempt failed for another reason. */
	Closed = 'closed',
}

/** Listener for connection events of peers. */
export type PeerConnectionEventListener = (host: string, event: PeerConnectionEvent) => void;
