import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {getCompiledPath} from '../fleet/compiled-path.js';
import {sampleDirectoryVariable} from './process-samples.js';

/** Directory to which processes that are started during its lifetime write samples of event-loop delay and CPU time. */
export class SampleDirectory implements AsyncDisposable {
	/** Creates the directory and sets the environment so that processes started from now on write samples to it. */
	static async create(): Promise<SampleDirectory> {
		const directory = new SampleDirectory(await mkdtemp(path.join(os.tmpdir(), 'tarragon-samples-')));
		const reporterUrl = pathToFileURL(getCompiledPath('@tarragonstack/bench', 'experiment/event-loop-reporter.js')).href;
		process.env[sampleDirectoryVariable] = directory.path;
		process.env.NODE_OPTIONS = `${directory.#previousNodeOptions ?? ''} --import ${reporterUrl}`.trim();
		return directory;
	}

	readonly #previousNodeOptions = process.env.NODE_OPTIONS;

	private constructor(readonly path: string) {}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		Reflect.deleteProperty(process.env, sampleDirectoryVariable);
		if (this.#previousNodeOptions === undefined) {
			delete process.env.NODE_OPTIONS;
		} else {
			process.env.NODE_OPTIONS = this.#previousNodeOptions;
		}

		await rm(this.path, {recursive: true, force: true});
	}
}
