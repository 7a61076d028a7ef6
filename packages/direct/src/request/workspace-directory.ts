import {type Workspace} from '../version/deployment-configuration.js';

/** Workspace with the API keys of its clients. */
export type WorkspaceWithKeys = {
	readonly workspace: Workspace;
	readonly keys: readonly string[];
};

/** Workspaces of one configuration, by API key. */
export class WorkspaceDirectory {
	/** Workspaces by name. */
	readonly byName: ReadonlyMap<string, Workspace>;
	/** Number of keys that are listed for several workspaces. */
	readonly ambiguousKeys: number;
	readonly #byKey = new Map<string, Workspace | undefined>();

	/**
	 * @param entries - Workspaces and their keys. A key of several workspaces identifies none of them, so that no client can act
	 * for the wrong one.
	 */
	constructor(entries: readonly WorkspaceWithKeys[]) {
		this.byName = new Map(entries.map(({workspace}) => [workspace.name, workspace]));
		const ambiguousKeys = new Set<string>();
		for (const {workspace, keys} of entries) {
			for (const key of new Set(keys)) {
				if (this.#byKey.has(key)) {
					ambiguousKeys.add(key);
				}

				this.#byKey.set(key, ambiguousKeys.has(key) ? undefined : workspace);
			}
		}

		this.ambiguousKeys = ambiguousKeys.size;
	}

	/** Returns the workspace that an API key identifies, or `undefined`. */
	findByKey(key: string): Workspace | undefined {
		return this.#byKey.get(key);
	}
}
