/** Quantity that is varied in a series of measurements. */
export enum Dimension {
	/** Number of hosts, without load. */
	Hosts = 'hosts',
	/** Number of groups, each with three instances, on six hosts without load. */
	Groups = 'groups',
	/** Number of idle client connections to one host. */
	Connections = 'connections',
	/** Number of contracts in the configuration. */
	Contracts = 'contracts',
	/** Number of concurrent clients that run statements back to back, which determines the statement rate. */
	Statements = 'statements',
}
