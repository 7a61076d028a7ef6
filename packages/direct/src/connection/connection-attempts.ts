/** Connection attempts of a pool that are in progress, and the time until which further ones are blocked. */
export class ConnectionAttempts {
	/** Monotonic time before which no further attempt is made, because the last one failed. */
	blockedUntil = 0;
	#pending = 0;
	readonly #byWorkspace = new Map<string | undefined, number>();

	/** Number of connection attempts in progress, including probes. */
	get pending(): number {
		return this.#pending;
	}

	/** Returns a copy of the number of attempts by workspace, `undefined` for the host's own. Probes are not counted. */
	copyCounts(): Map<string | undefined, number> {
		return new Map(this.#byWorkspace);
	}

	/** Records the start of an attempt on behalf of a workspace. */
	begin(workspace: string | undefined): void {
		this.#pending++;
		this.#byWorkspace.set(workspace, (this.#byWorkspace.get(workspace) ?? 0) + 1);
	}

	/** Records the end of an attempt on behalf of a workspace. */
	end(workspace: string | undefined): void {
		this.#pending--;
		const count = this.#byWorkspace.get(workspace) ?? 0;
		if (count > 1) {
			this.#byWorkspace.set(workspace, count - 1);
		} else {
			this.#byWorkspace.delete(workspace);
		}
	}

	/** Records the start of an attempt that only checks whether the instance responds. */
	beginProbe(): void {
		this.#pending++;
	}

	/** Records the end of a probe. */
	endProbe(): void {
		this.#pending--;
	}
}
