/** Preloaded into each process of a fleet: ends the process when the one that started it is gone. */
import process from 'node:process';

/** Exit code of a process that lost its parent. */
const lostParentExitCode = 3;

process.stdin.on('error', () => {});
process.stdin.on('close', () => {
	process.exit(lostParentExitCode);
});
process.stdin.resume();
// Standard input is a pipe here. It must not keep a process alive that has nothing else to do.
(process.stdin).unref?.();
