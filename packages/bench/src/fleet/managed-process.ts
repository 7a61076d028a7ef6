import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {pathToFileURL} from 'node:url';
import {SystemTimerService} from '@tarragonstack/core';
import {z} from 'zod';
import {getCompiledPath} from './compiled-path.js';

/** Lines of the standard error stream that are kept for reports. */
const maximumErrorLines = 200;

/** Time in which a process must print its ready line. */
const startTimeoutMilliseconds = 15_000;

/** Time that a process gets to stop after SIGTERM before it is killed. */
const stopTimeoutMilliseconds = 15_000;

const readyLineSchema = z.object({
	event: z.literal('ready'),
	role: z.string(),
	name: z.string(),
	pid: z.number(),
	addresses: z.record(z.string(), z.string()),
});

/** Line that a process prints when it accepts work. */
export type ReadyLine = z.infer<typeof readyLineSchema>;

const timerService = new SystemTimerService();
const runningChildren = new Set<ChildProcess>();

// A paused child does not notice that its standard input closes, so the children are killed when this process ends.
process.on('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** Process of a fleet that can be killed, paused and started again with the same arguments. */
export class ManagedProcess {
	readonly #script: string;
	readonly #arguments: readonly string[];
	readonly #errorLines: string[] = [];
	#child: ChildProcess | undefined;
	#ready: ReadyLine | undefined;

	/**
	 * @param name - Name of the process.
	 * @param script - Path of the compiled entry point.
	 * @param parameters - Arguments.
	 */
	constructor(readonly name: string, script: string, parameters: readonly string[]) {
		this.#script = script;
		this.#arguments = parameters;
	}

	/** Ready line of the last start. */
	get ready(): ReadyLine {
		if (!this.#ready) {
			throw new Error(`${this.name} has not started`);
		}

		return this.#ready;
	}

	/** Whether the process exists. */
	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** Last lines of the standard error stream. */
	get errorLines(): readonly string[] {
		return this.#errorLines;
	}

	/** Starts the process and waits for its ready line. */
	async start(): Promise<ReadyLine> {
		if (this.#child) {
			throw new Error(`${this.name} is running already`);
		}

		const preload = pathToFileURL(getCompiledPath('@tarragonstack/bench', 'fleet/exit-with-parent.js')).href;
		const child = spawn(process.execPath, ['--import', preload, this.#script, ...this.#arguments], {stdio: ['pipe', 'pipe', 'pipe']});
		this.#child = child;
		runningChildren.add(child);
		child.stdin.on('error', () => {});
		child.once('exit', (code, signal) => {
			runningChildren.delete(child);
			this.#addErrorLine(`process ended with ${signal ?? `exit code ${code}`}`);
			if (this.#child === child) {
				this.#child = undefined;
			}
		});
		createInterface({input: child.stderr}).on('line', line => {
			this.#addErrorLine(line);
		});
		this.#ready = await this.#waitForReady(child);
		return this.#ready;
	}

	/**
	 * Sends a signal.
	 *
	 * @param signal - Signal, for instance SIGSTOP or SIGCONT.
	 */
	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/** Kills the process and waits for its end. */
	async kill(): Promise<void> {
		await this.#signalAndWaitForExit('SIGKILL');
	}

	/** Stops the process gracefully; kills it when it takes too long. */
	async stop(): Promise<void> {
		this.signal('SIGCONT');
		const timeout = timerService.schedule(stopTimeoutMilliseconds, () => {
			this.#addErrorLine('the process did not stop in time and is killed');
			this.signal('SIGKILL');
		});
		await this.#signalAndWaitForExit('SIGTERM');
		timeout[Symbol.dispose]();
	}

	async #signalAndWaitForExit(signal: NodeJS.Signals): Promise<void> {
		const child = this.#child;
		if (child) {
			const exit = once(child, 'exit');
			child.kill(signal);
			await exit;
		}
	}

	#addErrorLine(line: string): void {
		this.#errorLines.push(line);
		if (this.#errorLines.length > maximumErrorLines) {
			this.#errorLines.shift();
		}
	}

	async #waitForReady(child: ChildProcess): Promise<ReadyLine> {
		return new Promise((resolve, reject) => {
			const fail = (reason: string) => {
				timeout[Symbol.dispose]();
				reject(new Error(`${this.name} ${reason}:\n${this.#errorLines.slice(-20).join('\n')}`));
			};

			const timeout = timerService.schedule(startTimeoutMilliseconds, () => {
				fail('did not print its ready line in time');
			});
			child.once('exit', () => {
				// The last lines of the standard error stream arrive after the exit.
				setImmediate(() => {
					fail('ended before it was ready');
				});
			});
			createInterface({input: child.stdout!}).on('line', line => {
				if (line.includes('"ready"')) {
					timeout[Symbol.dispose]();
					resolve(readyLineSchema.parse(JSON.parse(line)));
				}
			});
		});
	}
}
