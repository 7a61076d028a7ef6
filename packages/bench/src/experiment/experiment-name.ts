/** Name of an experiment. */
export enum ExperimentName {
	Steady = 'steady',
	FloodLeast = 'flood-least',
	FloodUrgent = 'flood-urgent',
	Failover = 'failover',
	SlowReplica = 'slow-replica',
	LaggingReplica = 'lagging-replica',
	ZoneCut = 'zone-cut',
	KeyValueOutage = 'key-value-outage',
	RefundBound = 'refund-bound',
	Overhead = 'overhead',
}
