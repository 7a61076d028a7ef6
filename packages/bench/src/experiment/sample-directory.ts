import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {getCompiledPath} from '../fleet/compiled-path.js';
import {directoryVariable} from './process-samples.js';

/** Directory to which all processes that start while it exists write samples of their event loop and CPU time. */
export class SampleDirectory implements AsyncDisposable {
	/** Creates the directory and lets processes that start from now on use it. */
	static async create(): Promise<SampleDirectory> {
		const directory = new SampleDirectory(await mkdtemp(path.join(os.tmpdir(), 'tarragon-samples-')));
		const reporter = pathToFileURL(getCompiledPath('@tarragonstack/bench', 'experiment/event-loop-reporter.js')).href;
		process.env[directoryVariable] = directory.path;
		process.env.NODE_OPTIONS = `${directory.#formerNodeOptions ?? ''} --import ${reporter}`.trim();
		return directory;
	}

	readonly #formerNodeOptions = process.env.NODE_OPTIONS;

	private constructor(readonly path: string) {}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		Reflect.deleteProperty(process.env, directoryVariable);
		if (this.#formerNodeOptions === undefined) {
			delete process.env.NODE_OPTIONS;
		} else {
			process.env.NODE_OPTIONS = this.#formerNodeOptions;
		}

		await rm(this.path, {recursive: true, force: true});
	}
}
