/** Name of a predefined deployment. */
export enum DeploymentName {
	Ronquido = 'ronquido',
	Edredon = 'edredon',
}

/** Size and limits of a deployment. */
export type Deployment = {
	readonly name: string;
	readonly region: string;
	readonly availabilityZones: readonly string[];
	readonly hostCount: number;
	readonly groups: readonly string[];
	/** Maximum number of statements that an instance executes concurrently. */
	readonly slots: number;
	readonly connectionLimit: number;
	/** Time to open a connection to an instance. */
	readonly connectMilliseconds: number;
	/** One-way delay between zones. */
	readonly zoneDelayMilliseconds: number;
	/** Name of the customer's user in the example contracts. */
	readonly user: string;
};

/** Predefined deployments, described in section 1.2 of the design document. */
export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
	[DeploymentName.Ronquido]: {
		name: 'ronquido',
		region: 'uy-sur',
		availabilityZones: ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'],
		hostCount: 6,
		groups: ['subs-core-1', 'subs-core-2', 'subs-core-3'],
		slots: 3,
		connectionLimit: 20,
		connectMilliseconds: 10,
		zoneDelayMilliseconds: 1,
		user: 'ronquido',
	},
	[DeploymentName.Edredon]: {
		name: 'edredon',
		region: 'norte',
		availabilityZones: ['oviedo', 'gijon', 'santander'],
		hostCount: 6,
		groups: ['lavado-db-1', 'lavado-db-2', 'lavado-db-3'],
		slots: 2,
		connectionLimit: 30,
		connectMilliseconds: 10,
		zoneDelayMilliseconds: 1,
		user: 'edredon',
	},
};
