import {mkdtemp, readdir, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

const prefix = 'tarragon-fleet-';

function isRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch (error) {
		// EPERM means that the process exists but belongs to another user.
		return (error as NodeJS.ErrnoException).code === 'EPERM';
	}
}

/** Creates a temporary directory for a fleet and removes the directories that killed processes left behind. */
export async function createTemporaryDirectory(): Promise<string> {
	for (const name of await readdir(os.tmpdir())) {
		const pid = /^tarragon-fleet-(?<pid>\d+)-/v.exec(name)?.groups?.pid;
		if (pid !== undefined && !isRunning(Number(pid))) {
			await rm(path.join(os.tmpdir(), name), {recursive: true, force: true});
		}
	}

	return mkdtemp(path.join(os.tmpdir(), `${prefix}${process.pid}-`));
}
