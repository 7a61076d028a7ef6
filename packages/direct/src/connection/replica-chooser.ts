import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {xoroshiro128plus} from 'pure-rand';
import {type InstanceGroupState, type KnownInstance} from '../process/instance-group-state.js';
import {chooseReadCandidate, type ReadCandidate} from '../request/read-placement.js';
import {type RequiredPosition} from '../request/replica-lag.js';
import {type InstancePool} from './instance-pool.js';

/** Divisor that turns an unsigned 32-bit integer into a number below 1. */
const drawRange = 0x1_00_00_00_00;

/** Chooses the replica of a group that serves a read. */
export class ReplicaChooser {
	readonly #timer: TimerService;
	readonly #availabilityZone: string;
	readonly #generator = xoroshiro128plus(1);

	/**
	 * @param timer - Monotonic clock.
	 * @param availabilityZone - Zone of this host.
	 */
	constructor(timer: TimerService, availabilityZone: string) {
		this.#timer = timer;
		this.#availabilityZone = availabilityZone;
	}

	/**
	 * Returns a replica, or `undefined` if none may serve the read.
	 *
	 * @param group - Group of the replicas.
	 * @param required - Log position that the replica must hold.
	 * @param tried - Instances that were already tried for this read.
	 */
	choose(group: InstanceGroupState, required: RequiredPosition, tried: ReadonlySet<InstancePool>): KnownInstance | undefined {
		const now = this.#timer.now();
		const primary = group.record?.primary;
		const replicas = [...group.instances.values()].filter(({pool}) => pool.instance.id !== primary && !pool.instance.leaving && !pool.closed);
		const candidates = replicas.map(replica => this.#createCandidate(replica, required, tried, now));
		const replica = replicas[chooseReadCandidate(candidates, () => this.#draw())];
		replica?.pool.recordRead();
		return replica;
	}

	/** Draws a number from 0 to 1. */
	#draw(): number {
		return (this.#generator.unsafeNext() >>> 0) / drawRange;
	}

	#createCandidate({pool, lag}: KnownInstance, required: RequiredPosition, tried: ReadonlySet<InstancePool>, now: number): ReadCandidate {
		const {capacity, instance} = pool;
		const isResponsive = pool.isResponsive(now);
		if (!isResponsive) {
			capacity.recordUnresponsive(now);
		}

		return {
			load: pool.load,
			responseTime: capacity.responseTime,
			weight: capacity.getWeight(now),
			distance: capacity.getDistance(instance.availabilityZone === this.#availabilityZone),
			usesGateway: pool.usesGateway,
			failureRate: pool.failureRate,
			isBehind: lag.isBehind(required, now),
			isResponsive,
			isTried: tried.has(pool),
		};
	}
}
