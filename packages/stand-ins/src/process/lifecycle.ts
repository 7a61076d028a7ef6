import process from 'node:process';

/** Fields of the line that a process prints once it accepts connections. */
export type ReadyLine = {
	readonly role: string;
	readonly name: string;
	readonly addresses: Readonly<Record<string, string>>;
};

/**
 * Writes the ready line to the standard output.
 *
 * @param line - Role, name and listening addresses of the process.
 */
export function announceReady(line: ReadyLine): void {
	process.stdout.write(`${JSON.stringify({
		event: 'ready', role: line.role, name: line.name, pid: process.pid, addresses: line.addresses,
	})}\n`);
}

/**
 * On SIGTERM or SIGINT, disposes of the resource and exits the process.
 *
 * @param resource - Server that the process runs.
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
