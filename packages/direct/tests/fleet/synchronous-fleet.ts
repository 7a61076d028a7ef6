import {formatLogPosition} from '@tarragonstack/core/request/log-position';
import {InstanceRole} from '../../src/index.js';
import {FakeFleet, type FakeClientResult} from './fake-fleet.js';
import {FakeInstance} from './fake-group.js';
import {type FakeStoreCopy} from './fake-store.js';

/** Time after which the entry of an instance that has ended is removed, in milliseconds. */
const entryExpiryMilliseconds = 3600;

/** Returns for the times of commits and promotions whether the commits must survive the promotions. */
export type SurvivalRule = {
	isCommitProtected(at: number): boolean;
	isPromotionProtected(at: number): boolean;
};

const everySurvival: SurvivalRule = {isCommitProtected: () => true, isPromotionProtected: () => true};

/** Fleet whose group acknowledges a commit once a replica has received it, with instances that are lost, restart, leave and join. */
export class SynchronousFleet extends FakeFleet {
	#version = 1;
	#joined = 0;

	constructor(hostCount = 6, synchronousReplicas = 1) {
		super(hostCount);
		this.setSynchronousReplicas(synchronousReplicas);
	}

	/** Configures the number of replicas that must receive a commit. */
	setSynchronousReplicas(count: number): void {
		this.#version++;
		this.putConfiguration(this.#version, [], count);
		this.group.synchronousReplicas = count;
	}

	/** Writes the newest configuration and the entries of all running instances again. */
	reportAll(): void {
		this.putConfiguration(this.#version, [], this.group.synchronousReplicas);
		for (const instance of this.group.instances) {
			if (!instance.isDown) {
				this.#report(instance);
			}
		}
	}

	/** Ends the processes of hosts, by default all of them, and starts them again. */
	restartHosts(indexes: readonly number[] = [...this.hosts.keys()]): void {
		const previous = indexes.map(index => this.hosts[index]!);
		for (const {name, host} of previous) {
			void host[Symbol.asyncDispose]();
			this.addHost(name, `zone-${'abc'[Number(name.split('-')[1]) % 3]!}`);
		}
	}

	/** Restores the store from a copy. The instances and the operator write again what they wrote, and missing instances expire. */
	restoreStore(copy: FakeStoreCopy): void {
		this.state.restore(copy);
		this.reportAll();
		for (const {entry: {id}, isDown} of this.group.instances) {
			if (isDown) {
				this.#expireEntry(id);
			}
		}
	}

	/** Ends the process of an instance; its entry expires. */
	crash(id: string): void {
		this.group.get(id).isDown = true;
		this.#expireEntry(id);
	}

	/** Starts an instance again, with its log or without it. */
	restart(id: string, keepsLog: boolean): void {
		const instance = this.group.get(id);
		const leader = this.group.instances.filter(({role}) => role === InstanceRole.Primary).toSorted((left, right) => right.term - left.term)[0]!;
		instance.isDown = false;
		instance.entry = {...instance.entry, leaving: false, startedAt: instance.entry.startedAt + 1, sequence: 0};
		if (!keepsLog) {
			instance.log = [];
			instance.role = InstanceRole.Replica;
		}

		if (leader !== instance) {
			instance.role = InstanceRole.Replica;
			this.catchUp(instance, leader);
		}

		this.#report(instance);
	}

	/** Makes an instance receive nothing, or everything from now on. */
	setDeaf(id: string, isDeaf: boolean): void {
		const instance = this.group.get(id);
		instance.receivesCommits = !isDeaf;
		if (!isDeaf && instance.role === InstanceRole.Replica) {
			this.catchUp(instance, this.group.get(this.getLeader()));
		}
	}

	/** Lets an instance report that it is about to stop. */
	drain(id: string): void {
		const instance = this.group.get(id);
		if (!instance.isDown) {
			instance.entry = {...instance.entry, leaving: true};
			this.#report(instance);
		}
	}

	/**
	 * Removes an instance that has left; a new one takes its place, with its log or empty. With the log of a primary, it leads the
	 * same term. Returns the identifier of the new one.
	 */
	replace(id: string, keepsLog: boolean): string {
		const former = this.group.get(id);
		this.#joined++;
		const joined = new FakeInstance({...former.entry, id: `orders-joined-${this.#joined}`, leaving: false, role: keepsLog ? former.role : InstanceRole.Replica, startedAt: 1000 + this.#joined});
		joined.log = keepsLog ? [...former.log] : [];
		joined.term = former.term;
		former.isDown = true;
		former.role = InstanceRole.Replica;
		this.state.remove(`instances/${id}`);
		this.group.instances.push(joined);
		this.catchUp(joined, this.group.get(this.getLeader()));
		this.#report(joined);
		return joined.entry.id;
	}

	/** Makes an instance unreachable for all hosts, or reachable again. */
	setUnreachable(id: string, isUnreachable: boolean): void {
		const {unreachableFrom} = this.group.get(id);
		unreachableFrom.clear();
		for (const {name} of isUnreachable ? this.hosts : []) {
			unreachableFrom.add(name);
		}
	}

	/**
	 * Returns the acknowledged commits that a promoted instance lacked, as `instance: position`.
	 *
	 * @param results - Results of clients that write.
	 * @param rule - Which commits must survive which promotions; by default all of them.
	 */
	getLostCommits(results: readonly FakeClientResult[], {isCommitProtected, isPromotionProtected}: SurvivalRule = everySurvival): string[] {
		const acknowledgedAt = new Map(results.filter(({result}) => !result.error).map(({identifier, at}) => [identifier, at]));
		let kept = this.group.commits.filter(({at, identifier}) => isCommitProtected(at) && acknowledgedAt.has(identifier));
		return this.group.promotions.flatMap(({instance, term, at, log}) => {
			const held = new Set(log.map(position => formatLogPosition(position)));
			const lost = kept.filter(({identifier, position}) => position.term < term && acknowledgedAt.get(identifier)! < at && !held.has(formatLogPosition(position)));
			kept = kept.filter(commit => !lost.includes(commit));
			return isPromotionProtected(at) ? lost.map(({position}) => `${instance}: ${formatLogPosition(position)}`) : [];
		});
	}

	/** Sends an instance all that the leader has, if both can. */
	catchUp(instance: FakeInstance, leader: FakeInstance): void {
		if (instance !== leader && !leader.isDown && !instance.isDown && leader.term >= instance.term) {
			instance.follow(leader);
		}
	}

	#expireEntry(id: string): void {
		const instance = this.group.get(id);
		const {startedAt} = instance.entry;
		this.timer.schedule(entryExpiryMilliseconds, () => {
			if (instance.isDown && instance.entry.startedAt === startedAt) {
				this.state.remove(`instances/${id}`);
			}
		});
	}

	#report(instance: FakeInstance): void {
		instance.entry = {...instance.entry, role: instance.role, sequence: instance.entry.sequence + 1};
		this.putInstance(instance.entry);
	}
}
