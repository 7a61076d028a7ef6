/* eslint-disable unicorn/import-style -- a script of the review, which runs outside of CI */
// Runs a case: records what happens in record.txt, and turns its outcome into the exit code of the script.
import {createWriteStream} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

/** Longest time that a script may run, in milliseconds. */
const limitMilliseconds = 110_000;

/**
 * @param folder - Folder of the case.
 * @param play - Plays the case; returns whether the rule was broken.
 */
export async function runCase(folder, play) {
	const isTroubled = process.env.TROUBLE !== '0';
	const file = createWriteStream(join(folder, 'record.txt'));
	const startedAt = Date.now();
	const record = entry => {
		file.write(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${typeof entry === 'string' ? entry : JSON.stringify(entry)}\n`);
	};

	const cleanUps = [];
	let code = 2;
	const timer = setTimeout(async () => {
		record('the case took too long');
		await finish();
	}, limitMilliseconds);
	async function finish() {
		clearTimeout(timer);
		for (const cleanUp of cleanUps) {
			try {
				cleanUp();
			} catch {
				// The other clean-ups still have to run.
			}
		}

		await new Promise(resolve => {
			file.end(resolve);
		});
		process.exit(code);
	}

	process.on('uncaughtException', async error => {
		record(String(error.stack));
		await finish();
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, finish);
	}

	record(isTroubled ? 'with the disruption' : 'without the disruption');
	try {
		const isBroken = await play({isTroubled, record, onCleanUp: cleanUp => cleanUps.push(cleanUp)});
		code = isBroken ? 1 : 0;
		record(isBroken ? 'RULE BROKEN' : 'rule held');
		console.log(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		record(String(error.stack));
		console.log(`the case could not run: ${error.message}`);
	}

	await finish();
}
