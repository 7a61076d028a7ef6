/** Quantity that a series of measurements varies. */
export enum Dimension {
	/** Hosts of the fleet, at rest. */
	Hosts = 'hosts',
	/** Groups of three instances before six hosts, at rest. */
	Groups = 'groups',
	/** Idle caller connections on one host. */
	Connections = 'connections',
	/** Contracts in the configuration. */
	Contracts = 'contracts',
	/** Statements per second through one host. */
	Statements = 'statements',
}
