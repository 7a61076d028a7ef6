import {type Contract, type Rank, type TimerService} from '@tarragonstack/core';
import {type ConnectionPools} from './connection-pools.js';
import {type LoadRequest} from './load-request.js';
import {type RankLoad} from './rank-load.js';
import {RankResult} from './rank-result.js';
import {classifyError, getErrorCode} from './request-outcome.js';
import {RequestSource} from './request-source.js';
import {SeededRandom} from './seeded-random.js';
import {WriteGapTracker} from './write-gap-tracker.js';

/** Options of a `LoadGenerator`. */
export type LoadGeneratorOptions = {
	readonly loads: readonly RankLoad[];
	readonly durationMilliseconds: number;
	readonly seed: number;
	readonly contract: Contract;
	readonly hosts: readonly string[];
	readonly groups: readonly string[];
	readonly pools: ConnectionPools;
	readonly timerService: TimerService;
	/** Prefix of keys and session names that is unique among the loads of a fleet; `load-` and the seed by default. */
	readonly prefix?: string;
	/** Start time on the monotonic clock; the current time by default. Generators with the same start time start together. */
	readonly startTime?: number;
	/** Called after each request, with the error if it failed. */
	readonly onOutcome?: (request: LoadRequest, error?: unknown) => void;
};

/** Result of a load. */
export type LoadResult = {
	readonly ranks: ReadonlyMap<Rank, RankResult>;
	readonly writeGaps: WriteGapTracker;
	readonly startTime: number;
	readonly endTime: number;
};

function findEarliestSource(sources: readonly RequestSource[]): RequestSource | undefined {
	let earliest: RequestSource | undefined;
	for (const source of sources) {
		if (!earliest || source.nextArrivalTime < earliest.nextArrivalTime) {
			earliest = source;
		}
	}

	return earliest;
}

/**
 * Generates an open-loop load: requests are sent at their arrival times, regardless of how many are pending, and latency is
 * measured from the arrival time.
 */
export class LoadGenerator {
	readonly #options: LoadGeneratorOptions;
	readonly #results: ReadonlyMap<Rank, RankResult>;
	readonly #pendingRequests = new Set<Promise<void>>();

	/** @param options - Loads, hosts, contract and connections. */
	constructor(options: LoadGeneratorOptions) {
		this.#options = options;
		this.#results = new Map(options.loads.map(({rank}) => [rank, new RankResult(options.contract.ranks[rank])]));
	}

	/** Runs the load and waits until all requests have completed. */
	async run(): Promise<LoadResult> {
		const {loads, durationMilliseconds, seed, hosts, groups, timerService, prefix = `load-${seed}`} = this.#options;
		const startTime = this.#options.startTime ?? timerService.now();
		const endTime = startTime + durationMilliseconds;
		const writeGaps = new WriteGapTracker(startTime);
		const sources = loads.map((load, index) => new RequestSource({
			load, random: new SeededRandom(seed + index), groups, hosts, prefix,
		}, startTime));
		for (;;) {
			const source = findEarliestSource(sources);
			if (!source || source.nextArrivalTime >= endTime) {
				break;
			}

			// Timers fire up to a millisecond late; all requests whose arrival time has passed by then are sent at once.
			const delayMilliseconds = source.nextArrivalTime - timerService.now();
			if (delayMilliseconds > 0) {
				await timerService.sleep(delayMilliseconds);
			}

			this.#startRequest(source.next(), writeGaps);
		}

		await timerService.sleep(Math.max(0, endTime - timerService.now()));
		await Promise.all(this.#pendingRequests);
		return {
			ranks: this.#results, writeGaps, startTime, endTime,
		};
	}

	#startRequest(request: LoadRequest, writeGaps: WriteGapTracker): void {
		const promise = this.#executeRequest(request, writeGaps).finally(() => {
			this.#pendingRequests.delete(promise);
		});
		this.#pendingRequests.add(promise);
	}

	async #executeRequest(request: LoadRequest, writeGaps: WriteGapTracker): Promise<void> {
		const {pools, timerService, onOutcome} = this.#options;
		const result = this.#results.get(request.rank)!;
		result.offered++;
		try {
			const rowCount = await pools.query(request.host, request.group, request.statement);
			const now = timerService.now();
			result.recordResponse(now - request.intendedTime);
			if (!request.isRead) {
				writeGaps.recordWrite(request.group, now);
				request.session.lastKey = request.key;
			} else if (request.expectsRow && rowCount === 0) {
				result.missedOwnWrites++;
			}

			onOutcome?.(request);
		} catch (error) {
			result.recordError(classifyError(error), getErrorCode(error));
			onOutcome?.(request, error);
		}
	}
}
