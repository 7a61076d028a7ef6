import {type StoreChange, type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {getEra, getStoreRevision} from '@tarragonstack/core/adapters/store-revision';

/** Listener for changes of the store. */
export type StoreListener = {
	/**
	 * Called for each item that was written, in order of revision.
	 *
	 * @returns Time for which the changes that follow may be batched, in milliseconds.
	 */
	handleItem(item: StoreItem): number;
	/**
	 * Called for each key that was removed.
	 *
	 * @returns Time for which the changes that follow may be batched, in milliseconds.
	 */
	handleRemoval(key: string): number;
	/** Called when all changes of one store call have been reported. */
	handleChangesApplied(): void;
};

/**
 * Copy of the items of the shared store. Its sources are a watch of the store, reads of a part of it, and the changes that
 * another host passes on. No key ever returns to an earlier revision, whichever source is behind.
 */
export class StoreView {
	/** Called with the changes that were new. */
	onChanges: ((changes: readonly StoreChange[]) => void) | undefined;
	readonly #listener: StoreListener;
	readonly #handleEra: (era: number) => void;
	/** Last change of each key. */
	readonly #changes = new Map<string, StoreChange>();
	#revision = 0;
	/** Revision of the first snapshot. Removals before it are not known. */
	#firstRevision = 0;

	/**
	 * @param listener - Receives the changes.
	 * @param handleEra - Called with the era of changes before they are applied.
	 */
	constructor(listener: StoreListener, handleEra: (era: number) => void = () => {}) {
		this.#listener = listener;
		this.#handleEra = handleEra;
	}

	/** Revision of the store up to which all changes are known; 0 before the first snapshot. */
	get revision(): number {
		return this.#revision;
	}

	/**
	 * Applies the changes after the present revision.
	 *
	 * @param changes - Changes in order of revision.
	 * @param revision - Revision up to which all changes are known afterwards.
	 * @returns Time for which the changes that follow may be batched, in milliseconds; infinity if none was new.
	 */
	applyChanges(changes: readonly StoreChange[], revision: number): number {
		this.#enterEra(changes, revision);
		this.#revision = Math.max(this.#revision, revision);
		return this.#apply(changes);
	}

	/**
	 * Applies all items with a key prefix.
	 *
	 * @param prefix - Key prefix; empty for the whole store.
	 * @param items - Items at the given revision or later ones.
	 * @param revision - Revision of the read.
	 */
	applySnapshot(prefix: string, items: readonly StoreItem[], revision: number): void {
		this.#enterEra(items, revision);
		const present = new Set(items.map(({key}) => key));
		const removals = [...this.#changes.values()]
			.filter(({key, removed, revision: known}) => !removed && key.startsWith(prefix) && !present.has(key) && known < revision)
			.map(({key}): StoreChange => ({removed: true, key, revision}));
		if (prefix === '') {
			this.#firstRevision ||= revision;
			this.#revision = Math.max(this.#revision, revision);
		}

		this.#apply([...removals, ...items.map(item => ({removed: false as const, ...item}))]);
	}

	/**
	 * Returns what another copy lacks.
	 *
	 * @param revision - Revision up to which the other copy knows all changes; 0 if it knows none.
	 */
	getChangesSince(revision: number): {readonly changes: readonly StoreChange[]; readonly isSnapshot: boolean} {
		const changes = [...this.#changes.values()].toSorted((left, right) => left.revision - right.revision);
		return revision > 0 && revision >= this.#firstRevision
			? {changes: changes.filter(change => change.revision > revision), isSnapshot: false}
			: {changes: changes.filter(({removed}) => !removed), isSnapshot: true};
	}

	/**
	 * Counts the known items that a restored store lacks or has at an earlier revision.
	 *
	 * @param items - All items of the restored store.
	 */
	countLostItems(items: readonly StoreItem[]): number {
		const revisions = new Map(items.map(({key, revision}) => [key, getStoreRevision(revision)]));
		return [...this.#changes.values()].filter(({key, removed, revision}) => !removed && getStoreRevision(revision) > (revisions.get(key) ?? 0)).length;
	}

	/** Returns the keys that the store contains as far as known. */
	getPresentKeys(): string[] {
		return [...this.#changes.values()].filter(({removed}) => !removed).map(({key}) => key);
	}

	#enterEra(changes: ReadonlyArray<{readonly revision: number}>, revision: number): void {
		let greatest = revision;
		for (const change of changes) {
			greatest = Math.max(greatest, change.revision);
		}

		this.#handleEra(getEra(greatest));
	}

	#apply(changes: readonly StoreChange[]): number {
		let delayMilliseconds = Number.POSITIVE_INFINITY;
		const applied: StoreChange[] = [];
		for (const change of changes) {
			if (change.revision <= (this.#changes.get(change.key)?.revision ?? 0)) {
				continue;
			}

			this.#changes.set(change.key, change);
			applied.push(change);
			delayMilliseconds = Math.min(delayMilliseconds, change.removed ? this.#listener.handleRemoval(change.key) : this.#listener.handleItem(change));
		}

		if (applied.length > 0) {
			this.onChanges?.(applied);
		}

		this.#listener.handleChangesApplied();
		return delayMilliseconds;
	}
}
