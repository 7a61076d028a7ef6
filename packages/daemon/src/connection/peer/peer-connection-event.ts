/** Event of the connection to a peer. */
export enum PeerConnectionEvent {
	/** A link was opened by either side, or the silence of a peer has ended. */
	Connected = 'connected',
	/** The peer refused a connection attempt. */
	Refused = 'refused',
	/** A connection attempt timed out, or the last open link received no data in time. Running calls may still complete. */
	Silent = 'silent',
	/** The last open link was closed, or a connection attempt failed for another reason. */
	Closed = 'closed',
}

/** Listener for connection events of peers. */
export type PeerConnectionEventListener = (host: string, event: PeerConnectionEvent) => void;
