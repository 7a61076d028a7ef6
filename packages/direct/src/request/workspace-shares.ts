/** Weight classes that are told apart; beyond them, a workspace would hardly ever be served while others wait. */
const maximumWeightClass = 10;

/** Workspaces of one priority beyond which those are forgotten that have no waiting statement and are not ahead of the others. */
const maximumRemembered = 256;

/** Workspace on whose behalf a statement runs; both are missing for statements without one. */
export type WorkspaceShare = {
	readonly workspace?: string | undefined;
	/** Weight class: each step up halves the share. */
	readonly workspacePriority?: number | undefined;
};

/** Virtual time of a priority, with its workspaces. */
type SharedClock = {
	/** Virtual time at which the workspace that was served last was due. */
	now: number;
	readonly flows: Map<string | undefined, WorkspaceFlow>;
};

/** Waiting statements of one workspace and priority. */
export type WorkspaceFlow = {
	readonly clock: SharedClock;
	/** Virtual time that a statement takes: the inverse of the weight of the workspace. */
	serviceTime: number;
	/** Virtual time at which the next statement is due, unless that of the clock is later. */
	dueTime: number;
	/** Number of waiting statements. */
	waiting: number;
};

/**
 * Divides the capacity of an instance between workspaces by weighted fair queueing, within each priority on its own. Each
 * statement that a workspace has been served delays its next one by the inverse of its weight in virtual time, and the
 * workspace that is due first is served first. A workspace that was idle is due at the present virtual time, so it neither
 * saves up capacity nor pays for what it used while no one else waited.
 *
 * Answers a workspace that sends 12 times its usual load: one that stays within its share waits for about one statement of
 * each other workspace, and not for the backlog of that one.
 */
export class WorkspaceShares {
	readonly #clocks = new Map<number, SharedClock>();

	/**
	 * Adds a waiting statement.
	 *
	 * @param priority - Priority of the statement.
	 * @param share - Workspace and its weight class.
	 * @returns Statements of the workspace with which this one waits.
	 */
	add(priority: number, {workspace, workspacePriority = 0}: WorkspaceShare): WorkspaceFlow {
		let clock = this.#clocks.get(priority);
		if (!clock) {
			clock = {now: 0, flows: new Map()};
			this.#clocks.set(priority, clock);
		}

		let flow = clock.flows.get(workspace);
		if (!flow) {
			forgetUnused(clock);
			flow = {clock, serviceTime: 1, dueTime: 0, waiting: 0};
			clock.flows.set(workspace, flow);
		}

		flow.serviceTime = 2 ** Math.max(-maximumWeightClass, Math.min(maximumWeightClass, workspacePriority));
		flow.waiting++;
		return flow;
	}

	/** Returns the statements of a workspace, or `undefined` if none waited recently. */
	getFlow(priority: number, {workspace}: WorkspaceShare): WorkspaceFlow | undefined {
		return this.#clocks.get(priority)?.flows.get(workspace);
	}

	/** Removes a statement that no longer waits and was not served. */
	remove(flow: WorkspaceFlow): void {
		flow.waiting--;
	}

	/** Removes a statement that is served. */
	serve(flow: WorkspaceFlow): void {
		flow.waiting--;
		flow.clock.now = getDueTime(flow);
		flow.dueTime = flow.clock.now + flow.serviceTime;
	}

	/** Forgets what was served, because no statement waits any more. */
	reset(): void {
		this.#clocks.clear();
	}
}

/** Returns the virtual time at which the next statement of a workspace is due. */
export function getDueTime({clock, dueTime}: WorkspaceFlow): number {
	return Math.max(clock.now, dueTime);
}

function forgetUnused({now, flows}: SharedClock): void {
	if (flows.size >= maximumRemembered) {
		for (const [workspace, {waiting, dueTime}] of flows) {
			if (waiting === 0 && dueTime <= now) {
				flows.delete(workspace);
			}
		}
	}
}
