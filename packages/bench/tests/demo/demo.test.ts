import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect, it} from 'vitest';

it('prints a report and exits with code 0, because new users run the demo first', async () => {
	const script = fileURLToPath(new URL('../../dist/demo/main.js', import.meta.url));
	const demo = spawn(process.execPath, [script, '--deployment', 'ronquido', '--duration', '6', '--seed', '7'], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	demo.stdout.on('data', (chunk: Buffer) => {
		output += chunk.toString();
	});
	const [code] = await once(demo, 'close') as [number];
	expect(code).toBe(0);
	for (const text of ['seed 7', 'killed subs-core-1-', 'urgent', 'middle', 'least', 'reads at replicas', 'gap in writes of subs-core-3']) {
		expect(output).toContain(text);
	}
});
