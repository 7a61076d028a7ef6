/** Preloaded into each process of a fleet to end it when its parent process exits. */
import process from 'node:process';

/** Exit code of a process whose parent exited. */
const lostParentExitCode = 3;

process.stdin.on('error', () => {});
process.stdin.on('close', () => {
	process.exit(lostParentExitCode);
});
process.stdin.resume();
// Standard input is a pipe to the parent. An open pipe must not keep the event loop of an idle process alive.
(process.stdin).unref?.();
