import {
	TransactionStatus, Verdict, type TimerService,
} from '@tarragonstack/core';
import {type PoolableConnection} from '../../src/connection/upstream/upstream-pool.js';
import {type StatementOptions, type StatementOutcome} from '../../src/request/scheduling/statement-connection.js';

/** Statement of the property test. It is sent as JSON in the text of a simple query. */
export type FakeStatement = {
	readonly identifier: string;
	/** Identifier of the explicit transaction to which the statement belongs. */
	readonly transaction?: string;
	readonly action: 'begin' | 'work' | 'commit';
	readonly milliseconds: number;
	readonly outcome: 'succeed' | 'fail' | 'lose-before-effect' | 'lose-after-effect';
};

/** In-memory database instance that records violations of the invariants of the proxy. */
export class FakeInstance {
	readonly violations: string[] = [];
	readonly effects = new Map<string, number>();
	readonly started = new Set<string>();
	maximumRunning = 0;
	maximumConnections = 0;
	readonly #timerService: TimerService;
	#runningCount = 0;
	#connectionCount = 0;

	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	async open(): Promise<PoolableConnection> {
		this.#connectionCount++;
		this.maximumConnections = Math.max(this.maximumConnections, this.#connectionCount);
		await this.#timerService.sleep(10);
		return this.#createConnection();
	}

	#createConnection(): PoolableConnection {
		let isOpen = true;
		let isBusy = false;
		let transaction: string | undefined;
		let pendingEffects: string[] = [];
		let cancellation = new AbortController();
		let resolveClosed!: () => void;
		const closed = new Promise<void>(resolve => {
			resolveClosed = resolve;
		});
		const close = () => {
			if (isOpen) {
				isOpen = false;
				this.#connectionCount--;
				cancellation.abort();
				resolveClosed();
			}
		};

		const loseConnection = (options: Partial<StatementOutcome>): StatementOutcome => {
			close();
			return {
				verdict: Verdict.MayHaveRun, transactionStatus: TransactionStatus.Idle, held: Buffer.alloc(0), writtenBytes: 0, committed: false, ...options,
			};
		};

		const createOutcome = (options: Partial<StatementOutcome>): StatementOutcome => ({
			verdict: Verdict.Ran,
			transactionStatus: transaction === undefined ? TransactionStatus.Idle : TransactionStatus.InTransaction,
			held: Buffer.alloc(0),
			writtenBytes: 0,
			committed: false,
			...options,
		});

		const execute = async (statement: FakeStatement): Promise<StatementOutcome> => {
			if (statement.action === 'begin' ? transaction !== undefined : transaction !== statement.transaction) {
				this.violations.push(`${statement.identifier} of ${statement.transaction} ran in ${transaction}`);
			}

			this.started.add(statement.identifier);
			this.#runningCount++;
			this.maximumRunning = Math.max(this.maximumRunning, this.#runningCount);
			await this.#timerService.sleep(statement.milliseconds, cancellation.signal);
			this.#runningCount--;
			if (!isOpen || statement.outcome === 'lose-before-effect') {
				return loseConnection({});
			}

			if (cancellation.signal.aborted || statement.outcome === 'fail') {
				return createOutcome({sqlState: cancellation.signal.aborted ? '57014' : '23514'});
			}

			if (statement.action === 'begin') {
				transaction = statement.transaction;
			}

			pendingEffects.push(statement.identifier);
			const isCommitted = transaction === undefined || statement.action === 'commit';
			if (isCommitted) {
				for (const identifier of pendingEffects) {
					this.effects.set(identifier, (this.effects.get(identifier) ?? 0) + 1);
				}

				pendingEffects = [];
				transaction = undefined;
			}

			return statement.outcome === 'lose-after-effect' ? loseConnection({}) : createOutcome({committed: statement.action === 'commit'});
		};

		const isClean = () => isOpen && !isBusy && transaction === undefined;
		const {violations} = this;
		return {
			get isOpen() {
				return isOpen;
			},
			get isClean() {
				return isClean();
			},
			closed,
			cancelFinished: Promise.resolve(),
			async run(messages: Uint8Array, _options: StatementOptions) {
				if (!isOpen || isBusy) {
					if (isBusy) {
						violations.push('two units on one connection');
					}

					return {...loseConnection({}), verdict: Verdict.NotRun};
				}

				isBusy = true;
				cancellation = new AbortController();
				const text = Buffer.from(messages).toString('utf8', 5, messages.length - 1);
				try {
					if (text === 'ROLLBACK') {
						transaction = undefined;
						pendingEffects = [];
						return createOutcome({});
					}

					return await execute(JSON.parse(text) as FakeStatement);
				} finally {
					isBusy = false;
				}
			},
			async cancel() {
				cancellation.abort();
			},
			close,
		};
	}
}
