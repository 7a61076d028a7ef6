import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {pathToFileURL} from 'node:url';
import {SystemTimerService} from '@tarragonstack/core';
import {z} from 'zod';
import {getCompiledPath} from './compiled-path.js';

/** Number of standard error lines that are kept for error messages. */
const maximumErrorLines = 200;

/** Maximum time until a process prints its ready line. */
const startTimeoutMilliseconds = 15_000;

/** Maximum time for a graceful stop after SIGTERM, before the process is killed. */
const stopTimeoutMilliseconds = 15_000;

const readyLineSchema = z.object({
	event: z.literal('ready'),
	role: z.string(),
	name: z.string(),
	pid: z.number(),
	addresses: z.record(z.string(), z.string()),
});

/** JSON line that a process prints to standard output when it is ready. */
export type ReadyLine = z.infer<typeof readyLineSchema>;

const timerService = new SystemTimerService();
const runningChildren = new Set<ChildProcess>();

// A suspended child cannot react to the end of its standard input, so all children are killed when this process exits.
process.on('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** Child process of a fleet that can be killed, suspended and restarted with the same arguments. */
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

	/** Whether the process was started and has not exited. */
	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** Most recent lines of the standard error stream. */
	get errorLines(): readonly string[] {
		return this.#errorLines;
	}

	/** Starts the process and waits for its ready line. */
	async start(): Promise<ReadyLine> {
		if (this.#child) {
			throw new Error(`${this.name} is already running`);
		}

		const preload = pathToFileURL(getCompiledPath('@tarragonstack/bench', 'fleet/exit-with-parent.js')).href;
		const child = spawn(process.execPath, ['--import', preload, this.#script, ...this.#arguments], {stdio: ['pipe', 'pipe', 'pipe']});
		this.#child = child;
		runningChildren.add(child);
		child.stdin.on('error', () => {});
		child.once('exit', (code, signal) => {
			runningChildren.delete(child);
			this.#addErrorLine(`process exited with ${signal ?? `exit code ${code}`}`);
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

	/** Kills the process with SIGKILL and waits until it has exited. */
	async kill(): Promise<void> {
		await this.#signalAndWaitForExit('SIGKILL');
	}

	/** Stops the process with SIGTERM, or with SIGKILL if it does not exit in time. */
	async stop(): Promise<void> {
		this.signal('SIGCONT');
		const timeout = timerService.schedule(stopTimeoutMilliseconds, () => {
			this.#addErrorLine('the process did not stop in time and will be killed');
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
				// The last lines of standard error can arrive after the exit event.
				setImmediate(() => {
					fail('exited before it was ready');
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
