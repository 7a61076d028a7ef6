import {rankDelegates} from '../request/delegate-plan.js';
import {type FleetView} from './fleet-view.js';

/** Hosts that may be limit coordinators. */
export class LimitPeers {
	readonly #fleet: FleetView;
	readonly #availabilityZone: string;
	#membershipChanges = -1;
	#ownZone: readonly string[] = [];
	#otherZones: ReadonlyArray<readonly string[]> = [];

	/**
	 * @param fleet - View of the registered hosts.
	 * @param availabilityZone - Zone of this host.
	 */
	constructor(fleet: FleetView, availabilityZone: string) {
		this.#fleet = fleet;
		this.#availabilityZone = availabilityZone;
	}

	/** Number of registered hosts. */
	get hostCount(): number {
		return this.#fleet.hosts.size;
	}

	/** Names of the hosts of this zone, the preferred coordinator first. */
	get ownZone(): readonly string[] {
		this.#refresh();
		return this.#ownZone;
	}

	/** The same for each other zone. */
	get otherZones(): ReadonlyArray<readonly string[]> {
		this.#refresh();
		return this.#otherZones;
	}

	/** Returns the address of a host, or `undefined` if it is not registered. */
	getAddress(host: string): string | undefined {
		return this.#fleet.hosts.get(host)?.record.peerAddress;
	}

	#refresh(): void {
		const {hosts, membershipChanges} = this.#fleet;
		if (this.#membershipChanges === membershipChanges) {
			return;
		}

		this.#membershipChanges = membershipChanges;
		const candidates = [...hosts].map(([name, {record}]) => ({name, availabilityZone: record.availabilityZone, capacity: record.capacity}));
		const zones = new Set(candidates.map(({availabilityZone}) => availabilityZone));
		zones.delete(this.#availabilityZone);
		this.#ownZone = rankDelegates(this.#availabilityZone, candidates);
		this.#otherZones = [...zones].toSorted().map(zone => rankDelegates(zone, candidates));
	}
}
