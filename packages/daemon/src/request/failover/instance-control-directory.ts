import {type InstanceDefinition} from '@tarragonstack/core';
import {type InstanceControl, type InstanceControlFactory} from './instance-control.js';

type Entry = {
	readonly address: string;
	readonly control: InstanceControl;
};

/** Control connections of this host: one to each instance of the groups in which it owns a member. */
export class InstanceControlDirectory implements AsyncDisposable {
	readonly #factory: InstanceControlFactory;
	readonly #entries = new Map<string, Entry>();
	readonly #closing = new Set<Promise<void>>();

	/**
	 * @param factory - Opens a control connection.
	 */
	constructor(factory: InstanceControlFactory) {
		this.#factory = factory;
	}

	/**
	 * Returns the control connection of an instance.
	 *
	 * @param instance - Name of the instance.
	 * @returns The connection, or `undefined` if this host owns no member of the group.
	 */
	getControl(instance: string): InstanceControl | undefined {
		return this.#entries.get(instance)?.control;
	}

	/**
	 * Opens missing connections and closes those to instances that are no longer listed or whose address changed.
	 *
	 * @param definitions - Instances to keep connections to.
	 */
	update(definitions: readonly InstanceDefinition[]): void {
		const wanted = new Map(definitions.map(definition => [definition.name, definition]));
		for (const [name, entry] of this.#entries) {
			if (wanted.get(name)?.address !== entry.address) {
				this.#entries.delete(name);
				this.#close(entry.control);
			}
		}

		for (const definition of definitions) {
			if (!this.#entries.has(definition.name)) {
				this.#entries.set(definition.name, {address: definition.address, control: this.#factory(definition)});
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.update([]);
		await Promise.all(this.#closing);
	}

	#close(control: InstanceControl): void {
		const closing = (async () => {
			await control[Symbol.asyncDispose]();
		})();
		this.#closing.add(closing);
		void (async () => {
			await closing;
			this.#closing.delete(closing);
		})();
	}
}
