import process from 'node:process';

/** Fields of the line that a process prints when it accepts work. */
export type ReadyLine = {
	readonly role: string;
	readonly name: string;
	readonly addresses: Readonly<Record<string, string>>;
};

/**
 * Prints the ready line on the standard output.
 *
 * @param line - Role, name and addresses of the process.
 */
export function announceReady(line: ReadyLine): void {
	process.stdout.write(`${JSON.stringify({
		event: 'ready', role: line.role, name: line.name, pid: process.pid, addresses: line.addresses,
	})}\n`);
}

/**
 * Serves until SIGTERM or SIGINT arrives, then releases the resource and ends the process.
 *
 * @param resource - Resource of the process.
 */
export function stopOnSignal(resource: AsyncDisposable): void {
	const stop = () => {
		void (async () => {
			await resource[Symbol.asyncDispose]();
			process.exit(0);
		})();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}
