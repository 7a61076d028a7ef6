import {
	MemberKind, MemberState, type GroupDefinition, type MembershipList, type TimerService,
} from '@tarragonstack/core';
import {type ConfigurationSnapshot, type ConfigurationStore} from './configuration-store.js';
import {IndexedConfigurationSnapshot} from './indexed-configuration-snapshot.js';

/** Interval between reads of the membership list, in milliseconds. With the lag of the list it meets the limit of 3 s. */
const readIntervalMilliseconds = 1000;

/** Timeout of a read of the membership list, in milliseconds. */
const readTimeoutMilliseconds = 900;

/** Options of `EffectiveConfigurationStore`. */
export type EffectiveConfigurationStoreOptions = {
	readonly base: ConfigurationStore;
	readonly membershipList: MembershipList;
	readonly timerService: TimerService;
};

/**
 * Configuration in which instances that are leaving according to the membership list are marked as leaving.
 *
 * The membership list may be wrong. If it lists all instances of a group as leaving, it is ignored for this group, because
 * an instance that is about to leave is better than none.
 */
export class EffectiveConfigurationStore implements ConfigurationStore, Disposable {
	readonly #options: EffectiveConfigurationStoreOptions;
	readonly #listeners = new Set<(snapshot: ConfigurationSnapshot) => void>();
	readonly #subscriptions: Disposable[];
	#leaving: ReadonlySet<string> = new Set();
	#current: ConfigurationSnapshot | undefined;
	#isReading = false;

	/**
	 * @param options - Base configuration store and services to use.
	 */
	constructor(options: EffectiveConfigurationStoreOptions) {
		this.#options = options;
		this.#subscriptions = [
			options.base.subscribe(() => {
				this.#update();
			}),
			options.timerService.subscribe(readIntervalMilliseconds, () => {
				void this.#readList();
			}),
		];
		this.#update();
	}

	/** @inheritdoc */
	getCurrent(): ConfigurationSnapshot | undefined {
		return this.#current;
	}

	/** @inheritdoc */
	subscribe(listener: (snapshot: ConfigurationSnapshot) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/** Stops reading the membership list. */
	[Symbol.dispose](): void {
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}
	}

	async #readList(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		const members = await this.#options.membershipList.getMembers({kind: MemberKind.Upstream, state: MemberState.Leaving}, readTimeoutMilliseconds);
		this.#isReading = false;
		if (members.isErr()) {
			return;
		}

		const leaving = members.value.map(({name}) => name);
		const hasChanged = leaving.length !== this.#leaving.size || leaving.some(name => !this.#leaving.has(name));
		if (hasChanged) {
			this.#leaving = new Set(leaving);
			this.#update();
		}
	}

	#update(): void {
		const base = this.#options.base.getCurrent();
		if (!base) {
			return;
		}

		const groups = base.configuration.groups.map(group => this.#markLeaving(group));
		this.#current = new IndexedConfigurationSnapshot({...base.configuration, groups});
		for (const listener of this.#listeners) {
			listener(this.#current);
		}
	}

	#markLeaving(group: GroupDefinition): GroupDefinition {
		const instances = group.instances.map(instance => ({...instance, leaving: instance.leaving || this.#leaving.has(instance.name)}));
		return instances.every(({leaving}) => leaving) ? group : {...group, instances};
	}
}
