import {type TimerService} from '@tarragonstack/core';
import {SqlError} from './sql-error.js';

/** Owner of row locks, compared by identity. */
export type LockOwner = Record<never, never>;

type Waiter = {
	readonly owner: LockOwner;
	grant: () => void;
};

type Lock = {
	owner: LockOwner;
	readonly waiters: Waiter[];
};

/** Exclusive row locks of transactions, granted in request order. */
export class LockManager {
	readonly #timerService: TimerService;
	readonly #waitLimitMilliseconds: number;
	readonly #locks = new Map<string, Lock>();
	readonly #heldLocks = new Map<LockOwner, Set<string>>();
	readonly #waitingFor = new Map<LockOwner, string>();

	/**
	 * @param timerService - Timers of the wait limit.
	 * @param waitLimitMilliseconds - Maximum wait time, after which `acquire` fails with SQLSTATE 55P03.
	 */
	constructor(timerService: TimerService, waitLimitMilliseconds: number) {
		this.#timerService = timerService;
		this.#waitLimitMilliseconds = waitLimitMilliseconds;
	}

	/**
	 * Locks a row until the owner releases all its locks. Fails with SQLSTATE 40001 if the wait would cause a deadlock.
	 *
	 * @param owner - Transaction that acquires the lock.
	 * @param name - Unique name of the row.
	 * @param signal - Cancels the wait, which then fails with SQLSTATE 57014.
	 */
	async acquire(owner: LockOwner, name: string, signal: AbortSignal): Promise<void> {
		const lock = this.#locks.get(name);
		if (!lock) {
			this.#locks.set(name, {owner, waiters: []});
			this.#addHeldLock(owner, name);
			return;
		}

		if (lock.owner === owner) {
			return;
		}

		if (this.#wouldDeadlock(owner, lock)) {
			throw new SqlError('40001', 'could not serialize access due to a deadlock');
		}

		await this.#wait(owner, name, lock, signal);
	}

	/**
	 * Releases all locks of an owner.
	 *
	 * @param owner - Transaction that holds the locks.
	 */
	releaseAll(owner: LockOwner): void {
		for (const name of this.#heldLocks.get(owner) ?? []) {
			const lock = this.#locks.get(name)!;
			const next = lock.waiters.shift();
			if (next) {
				lock.owner = next.owner;
				this.#addHeldLock(next.owner, name);
				next.grant();
			} else {
				this.#locks.delete(name);
			}
		}

		this.#heldLocks.delete(owner);
	}

	async #wait(owner: LockOwner, name: string, lock: Lock, signal: AbortSignal): Promise<void> {
		this.#waitingFor.set(owner, name);
		try {
			await new Promise<void>((resolve, reject) => {
				const waiter: Waiter = {owner, grant: resolve};
				const fail = (error: SqlError) => {
					const index = lock.waiters.indexOf(waiter);
					if (index !== -1) {
						lock.waiters.splice(index, 1);
						reject(error);
					}
				};

				const abort = () => {
					fail(new SqlError('57014', 'canceling statement due to user request'));
				};

				lock.waiters.push(waiter);
				const timer = this.#timerService.schedule(this.#waitLimitMilliseconds, () => {
					fail(new SqlError('55P03', 'canceling statement due to lock timeout'));
				});
				signal.addEventListener('abort', abort, {once: true});
				waiter.grant = () => {
					timer[Symbol.dispose]();
					signal.removeEventListener('abort', abort);
					resolve();
				};

				if (signal.aborted) {
					abort();
				}
			});
		} finally {
			this.#waitingFor.delete(owner);
		}
	}

	#wouldDeadlock(owner: LockOwner, lock: Lock): boolean {
		const visited = new Set<LockOwner>();
		let current: Lock | undefined = lock;
		while (current && !visited.has(current.owner)) {
			if (current.owner === owner) {
				return true;
			}

			visited.add(current.owner);
			const awaitedName = this.#waitingFor.get(current.owner);
			current = awaitedName === undefined ? undefined : this.#locks.get(awaitedName);
		}

		return false;
	}

	#addHeldLock(owner: LockOwner, name: string): void {
		const held = this.#heldLocks.get(owner) ?? new Set<string>();
		held.add(name);
		this.#heldLocks.set(owner, held);
	}
}
