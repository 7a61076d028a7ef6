#!/usr/bin/env node
import {userInfo} from 'node:os';
import process from 'node:process';
import {runProgram} from './run-program.js';

const abortController = new AbortController();
process.once('SIGINT', () => {
	abortController.abort();
});

process.exitCode = await runProgram(process.argv.slice(2), {
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
	signal: abortController.signal,
	userName: userInfo().username,
});
