/** What this host experienced with a peer. */
export enum PeerConnectionEvent {
	/** A link was opened, by either side. */
	Connected = 'connected',
	/** The connection was refused. */
	Refused = 'refused',
	/** The connection could not be opened in time, or an open link was silent. */
	Silent = 'silent',
	/** An open link was closed by the peer. */
	Closed = 'closed',
}

/** Receiver of experiences with peers. */
export type PeerConnectionEventListener = (host: string, event: PeerConnectionEvent) => void;
