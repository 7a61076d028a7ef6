#!/usr/bin/env node
import process from 'node:process';
import {command, flag, option, run, string} from 'cmd-ts';
import {Daemon} from './process/daemon.js';
import {readSettings} from './process/settings/index.js';

/** Exit code if the settings are invalid. */
const invalidSettingsExitCode = 2;

/** Exit code if the daemon cannot start, for example because a port is in use. */
const startFailedExitCode = 1;

const tarragond = command({
	name: 'tarragond',
	version: '0.1.0',
	description: 'Database proxy with session consistency. Runs on every entry host.',
	args: {
		settings: option({type: string, long: 'settings', description: 'Path of the settings file (JSON)'}),
		checkSettings: flag({long: 'check-settings', description: 'Check the settings file and exit'}),
	},
	async handler({settings: file, checkSettings}) {
		const settings = readSettings(file);
		if (settings.isErr()) {
			for (const message of settings.error) {
				process.stderr.write(`tarragond: ${message}\n`);
			}

			process.exit(invalidSettingsExitCode);
		}

		if (checkSettings) {
			process.stdout.write(`settings file "${file}" is valid\n`);
			return;
		}

		await serve(await startOrExit(settings.value));
	},
});

/**
 * Starts the daemon, or prints the error and exits the process.
 *
 * @param settings - Validated settings.
 */
async function startOrExit(settings: Parameters<typeof Daemon.start>[0]): Promise<Daemon> {
	try {
		return await Daemon.start(settings);
	} catch (error) {
		process.stderr.write(`tarragond: cannot start: ${error instanceof Error ? error.message : String(error)}\n`);
		process.exit(startFailedExitCode);
	}
}

/**
 * Prints the `ready` event of the daemon and stops it gracefully on SIGTERM or SIGINT.
 *
 * @param daemon - Started daemon.
 */
async function serve(daemon: Daemon): Promise<void> {
	const stop = () => {
		void (async () => {
			await daemon.stop();
			process.exit(0);
		})();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	process.stdout.write(`${JSON.stringify({event: 'ready', role: 'host', name: daemon.name, pid: process.pid, addresses: daemon.addresses})}\n`);
}

await run(tarragond, process.argv.slice(2));
