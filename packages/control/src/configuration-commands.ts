import {readFile} from 'node:fs/promises';
import {
	configurationKey, type Configuration, type KeyValueService, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {fail, succeed, type CommandResult} from './command-result.js';
import {
	ChangeOutcomeKind, validateConfiguration, ConfigurationClient, type ChangeOutcome, type ConfigurationSections, type UnvalidatedSections,
} from './configuration-client.js';
import {listDifferences} from './configuration-difference.js';
import {ExitCode} from './exit-code.js';

/** Section of the configuration that a command reads or writes. */
export enum Section {
	Contracts = 'contracts',
	Groups = 'groups',
}

/** Field that identifies an element, by section. */
const nameFields: Readonly<Record<Section, string>> = {
	[Section.Contracts]: 'customer',
	[Section.Groups]: 'name',
};

/** Maximum number of attempts to set `leaving` when other changes are accepted first. */
const maximumSetLeavingAttempts = 5;

/** Delay before a watch that ended or failed is restarted, in milliseconds. */
const watchRetryDelayMilliseconds = 1000;

/** Commands that read or change the configuration. */
export class ConfigurationCommands {
	readonly #client: ConfigurationClient;

	/**
	 * @param keyValueService - Service that holds the record.
	 * @param timerService - Timer for the pauses between attempts.
	 */
	constructor(private readonly keyValueService: KeyValueService, private readonly timerService: TimerService) {
		this.#client = new ConfigurationClient(keyValueService, timerService);
	}

	/**
	 * Prints one element, or the whole section, in the format that `put` accepts.
	 *
	 * @param section - Section to read.
	 * @param name - Name of the element.
	 */
	async get(section: Section, name: string | undefined): Promise<CommandResult> {
		return this.#withConfiguration(configuration => {
			const elements: ReadonlyArray<Record<string, unknown>> = configuration[section];
			const found = name === undefined ? elements : elements.find(element => element[nameFields[section]] === name);
			return found === undefined
				? fail(ExitCode.InvalidInput, `there is no "${name}" in ${section}`, `Run "tarragonctl ${section} list" to see the names.`)
				: succeed([JSON.stringify(found, undefined, 2)], {version: configuration.version, value: found});
		});
	}

	/**
	 * Prints the names of a section and the version.
	 *
	 * @param section - Section to read.
	 */
	async list(section: Section): Promise<CommandResult> {
		return this.#withConfiguration(configuration => {
			const names = configuration[section].map(element => String((element as Record<string, unknown>)[nameFields[section]]));
			return succeed([`version ${configuration.version} by ${configuration.author} at ${configuration.time}`, ...names], {version: configuration.version, names});
		});
	}

	/**
	 * Validates a file without writing to the key-value service.
	 *
	 * @param section - Section that the file describes.
	 * @param file - Name of the file.
	 */
	async check(section: Section, file: string): Promise<CommandResult> {
		const [input, readResult] = await Promise.all([readInputFile(file), this.#client.read()]);
		if (input.isErr()) {
			return fail(ExitCode.InvalidInput, input.error, 'Correct the file and check it again.');
		}

		if (readResult.isErr()) {
			return fail(ExitCode.Failure, readResult.error, 'The check needs the current configuration. Check the address of the key-value service and try again.');
		}

		const validated = validateConfiguration({
			version: 1, changeIdentifier: 'check', author: 'check', time: new Date(0).toISOString(),
			...createSectionsUpdate(section, input.value)(getSections(readResult.value.configuration)),
		});
		return validated.isOk()
			? succeed([`${file} is valid`], {valid: true})
			: fail(ExitCode.InvalidInput, validated.error, 'Correct the file and check it again.');
	}

	/**
	 * Prints the changes that `put` would make.
	 *
	 * @param section - Section that the file describes.
	 * @param file - Name of the file.
	 */
	async diff(section: Section, file: string): Promise<CommandResult> {
		const input = await readInputFile(file);
		if (input.isErr()) {
			return fail(ExitCode.InvalidInput, input.error, 'Correct the file.');
		}

		const readResult = await this.#client.read();
		if (readResult.isErr()) {
			return fail(ExitCode.Failure, readResult.error, 'Check the address of the key-value service and try again.');
		}

		const sections = getSections(readResult.value.configuration);
		const version = readResult.value.configuration?.version ?? 0;
		const differences = listDifferences(sections, createSectionsUpdate(section, input.value)(sections));
		return succeed([...differences, `${differences.length} differences from version ${version}`], {version, differences});
	}

	/**
	 * Writes a file as the new section, or one element of it.
	 *
	 * @param section - Section that the file describes.
	 * @param file - Name of the file: a list replaces the section, an object adds or replaces one element.
	 * @param baseVersion - Version on which the change is based; 0 if there is no configuration yet.
	 * @param author - Name of the operator.
	 */
	async put(section: Section, file: string, baseVersion: number, author: string): Promise<CommandResult> {
		const input = await readInputFile(file);
		if (input.isErr()) {
			return fail(ExitCode.InvalidInput, input.error, 'Nothing was written. Correct the file and put it again.');
		}

		return createOutcomeResult(await this.#client.change(baseVersion, author, createSectionsUpdate(section, input.value)));
	}

	/**
	 * Prints the recorded changes of a section, newest first.
	 *
	 * @param section - Section to read.
	 */
	async history(section: Section): Promise<CommandResult> {
		const readResult = await this.#client.read();
		if (readResult.isErr()) {
			return fail(ExitCode.Failure, readResult.error, 'Check the address of the key-value service and try again.');
		}

		const entries = await this.#client.readHistory(readResult.value.configuration?.version ?? 0);
		const changes = entries
			.map(entry => ({...entry, differences: entry.differences.filter(line => line.slice(2).startsWith(section))}))
			.filter(entry => entry.differences.length > 0);
		const lines = changes.flatMap(entry => [`version ${entry.version} by ${entry.author} at ${entry.time}`, ...entry.differences.map(line => `  ${line}`)]);
		return succeed(lines.length === 0 ? ['no recorded changes'] : lines, {changes});
	}

	/**
	 * Sets or clears `leaving` of an instance, which drains or undrains it.
	 *
	 * @param instance - Name of the instance.
	 * @param leaving - New value.
	 * @param author - Name of the operator.
	 */
	async setLeaving(instance: string, leaving: boolean, author: string): Promise<CommandResult> {
		for (let attempt = 1; ; attempt++) {
			const readResult = await this.#client.read();
			if (readResult.isErr()) {
				return fail(ExitCode.Failure, readResult.error, 'Nothing was written. Check the address of the key-value service and try again.');
			}

			const {configuration} = readResult.value;
			if (!configuration?.groups.some(group => group.instances.some(({name}) => name === instance))) {
				return fail(ExitCode.InvalidInput, `there is no instance "${instance}"`, 'Run "tarragonctl groups get" to see the instances.');
			}

			const outcome = await this.#client.change(configuration.version, author, sections => ({
				contracts: sections.contracts,
				groups: sections.groups.map(group => ({
					...group,
					instances: group.instances.map(definition => definition.name === instance ? {...definition, leaving} : definition),
				})),
			}));
			// The change does not depend on other fields, so after a conflict it is applied to the newer version.
			if (outcome.kind !== ChangeOutcomeKind.Conflict || attempt === maximumSetLeavingAttempts) {
				return createOutcomeResult(outcome);
			}
		}
	}

	/**
	 * Prints each accepted version until the signal is aborted.
	 *
	 * @param print - Prints a result.
	 * @param signal - Stops the watch when aborted.
	 */
	async watch(print: (result: CommandResult) => void, signal: AbortSignal): Promise<CommandResult> {
		let revision = 0;
		let previous: Configuration | undefined;
		const printConfiguration = (parsed: Result<Configuration, string | string[]>) => {
			if (parsed.isErr()) {
				print(fail(ExitCode.InvalidInput, parsed.error, 'Hosts ignore this record. Write a valid one with "put".'));
				return;
			}

			const {version, author, time, changeIdentifier} = parsed.value;
			const differences = previous ? listDifferences(getSections(previous), getSections(parsed.value)) : [];
			previous = parsed.value;
			print(succeed([`version ${version} by ${author} at ${time}`, ...differences.map(line => `  ${line}`)], {
				version, author, time, changeIdentifier, differences,
			}));
		};

		while (!signal.aborted) {
			// The service may have compacted older revisions, so the watch starts at the revision that was read.
			const readResult = await this.#client.read();
			if (readResult.isErr()) {
				print(fail(ExitCode.Failure, readResult.error, 'The watch is retried every second.'));
			} else if (readResult.value.revision !== revision && readResult.value.configuration) {
				revision = readResult.value.revision;
				printConfiguration(ok(readResult.value.configuration));
			}

			try {
				for await (const entry of this.keyValueService.watch(configurationKey, revision, signal)) {
					revision = entry.revision;
					printConfiguration(parseConfiguration(entry.value));
				}
			} catch (error) {
				print(fail(ExitCode.Failure, `the watch failed: ${String(error)}`, 'The watch is retried every second.'));
			}

			await this.timerService.sleep(watchRetryDelayMilliseconds, signal);
		}

		return succeed([], {});
	}

	async #withConfiguration(createResult: (configuration: Configuration) => CommandResult): Promise<CommandResult> {
		const readResult = await this.#client.read();
		if (readResult.isErr()) {
			return fail(ExitCode.Failure, readResult.error, 'Check the address of the key-value service and try again.');
		}

		return readResult.value.configuration
			? createResult(readResult.value.configuration)
			: fail(ExitCode.Failure, 'there is no configuration yet', 'Put the groups first: "tarragonctl groups put FILE --based-on 0 --author NAME".');
	}
}

function createOutcomeResult(outcome: ChangeOutcome): CommandResult {
	switch (outcome.kind) {
		case ChangeOutcomeKind.Accepted: {
			return succeed([...outcome.differences, `accepted, version ${outcome.version}`], {outcome: 'Accepted', version: outcome.version, differences: outcome.differences});
		}

		case ChangeOutcomeKind.Unchanged: {
			return succeed([`no difference from version ${outcome.version}; nothing was written`], {outcome: 'Unchanged', version: outcome.version});
		}

		case ChangeOutcomeKind.Invalid: {
			return fail(ExitCode.InvalidInput, outcome.problems, 'Nothing was written. Correct the input and put it again.');
		}

		case ChangeOutcomeKind.Conflict: {
			const {current, differences} = outcome;
			const version = current?.version ?? 0;
			const currentState = current ? `version ${version} by ${current.author} at ${current.time} is in force` : 'there is no configuration yet';
			const hint = `Nothing was written. Review the difference, adapt the input, and put it again with --based-on ${version}.`;
			return {
				exitCode: ExitCode.Conflict,
				lines: [`conflict: ${currentState}`, 'difference between it and your input:', ...differences.map(line => `  ${line}`), hint],
				data: {outcome: 'Conflict', version, differences, next: hint},
			};
		}

		case ChangeOutcomeKind.Failed: {
			return fail(ExitCode.Failure, outcome.message, 'Nothing was written. Check the key-value service and put the input again.');
		}

		case ChangeOutcomeKind.Unknown: {
			return fail(ExitCode.OutcomeUnknown, `outcome unknown: ${outcome.message}`, 'Run "diff" with the same input before you put it again: no difference means that the change was accepted.');
		}
	}
}

function getSections(configuration: Configuration | undefined): ConfigurationSections {
	return {contracts: configuration?.contracts ?? [], groups: configuration?.groups ?? []};
}

function createSectionsUpdate(section: Section, input: unknown): (sections: ConfigurationSections) => UnvalidatedSections {
	return sections => {
		if (Array.isArray(input)) {
			return {...sections, [section]: input as unknown[]};
		}

		const field = nameFields[section];
		const name = typeof input === 'object' && input !== null ? (input as Record<string, unknown>)[field] : undefined;
		const elements: unknown[] = [...sections[section]];
		const index = elements.findIndex(element => (element as Record<string, unknown>)[field] === name);
		elements.splice(index === -1 ? elements.length : index, index === -1 ? 0 : 1, input);
		return {...sections, [section]: elements};
	};
}

function parseConfiguration(text: string): Result<Configuration, string[]> {
	try {
		return validateConfiguration(JSON.parse(text));
	} catch {
		return err(['the record is not valid JSON']);
	}
}

async function readInputFile(file: string): Promise<Result<unknown, string>> {
	try {
		return ok(JSON.parse(await readFile(file, 'utf8')));
	} catch (error) {
		return err(`${file}: ${error instanceof Error ? error.message : String(error)}`);
	}
}
