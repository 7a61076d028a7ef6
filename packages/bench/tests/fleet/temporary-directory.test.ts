import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync} from 'node:fs';
import {mkdir, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect, it} from 'vitest';
import {createTemporaryDirectory} from '../../src/index.js';

it.each([
	{guards: 'leftover directories of killed fleets', getOwner: getEndedProcess, remains: false},
	{guards: 'the removal of the directory of a running fleet', getOwner: async () => process.pid, remains: true},
])('guards against $guards', async ({getOwner, remains}) => {
	const other = path.join(os.tmpdir(), `tarragon-fleet-${await getOwner()}-test`);
	await mkdir(other, {recursive: true});
	const own = await createTemporaryDirectory();
	expect(existsSync(other)).toBe(remains);
	expect(existsSync(own)).toBe(true);
	await rm(own, {recursive: true});
	await rm(other, {recursive: true, force: true});
});

async function getEndedProcess(): Promise<number> {
	const child = spawn(process.execPath, ['--version'], {stdio: 'ignore'});
	await once(child, 'exit');
	return child.pid!;
}
