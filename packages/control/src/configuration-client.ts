import {randomUUID} from 'node:crypto';
import {
	configurationKey, configurationSchema, maximumConfigurationBytes, Verdict, z,
	type Configuration, type KeyValueEntry, type KeyValueService, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {listDifferences} from './configuration-difference.js';

/** Time limit of one call to the key-value service, in milliseconds. */
const callTimeoutMilliseconds = 3000;

/** Attempts to read the record back after a lost reply, and the pause between them in milliseconds. */
const readBackAttempts = 5;
const readBackPauseMilliseconds = 500;

/** Maximum number of entries in the history. Older entries are emptied. */
export const maximumHistoryEntries = 50;

/** Maximum number of differences in one history entry. */
const maximumDifferencesPerEntry = 100;

const historySchema = z.object({
	version: z.number().int().positive(),
	changeIdentifier: z.string(),
	author: z.string(),
	time: z.string(),
	differences: z.array(z.string()),
});

/** Accepted change, as stored in the history. */
export type HistoryEntry = z.infer<typeof historySchema>;

/** Configuration in the key-value service, with the revision that a compare-and-swap expects. */
export type StoredConfiguration = {
	readonly configuration: Configuration | undefined;
	readonly revision: number;
};

/** Kind of the outcome of a change. */
export enum ChangeOutcomeKind {
	Accepted = 'accepted',
	Unchanged = 'unchanged',
	Invalid = 'invalid',
	Conflict = 'conflict',
	Failed = 'failed',
	Unknown = 'unknown',
}

/** Outcome of an attempt to change the configuration. */
export type ChangeOutcome
	= | {readonly kind: ChangeOutcomeKind.Accepted; readonly version: number; readonly differences: readonly string[]}
		| {readonly kind: ChangeOutcomeKind.Unchanged; readonly version: number}
		| {readonly kind: ChangeOutcomeKind.Invalid; readonly problems: readonly string[]}
		| {readonly kind: ChangeOutcomeKind.Conflict; readonly current: Configuration | undefined; readonly differences: readonly string[]}
		| {readonly kind: ChangeOutcomeKind.Failed; readonly message: string}
		| {readonly kind: ChangeOutcomeKind.Unknown; readonly message: string};

/** Sections of the record that operators change. */
export type ConfigurationSections = Pick<Configuration, 'contracts' | 'groups'>;

/** Sections as an operator wrote them, before validation. */
export type UnvalidatedSections = {readonly contracts: readonly unknown[]; readonly groups: readonly unknown[]};

/** Reads and changes the configuration in the key-value service. */
export class ConfigurationClient {
	/**
	 * @param keyValueService - Service that holds the record.
	 * @param timerService - Timer for the pauses between attempts.
	 */
	constructor(private readonly keyValueService: KeyValueService, private readonly timerService: TimerService) {}

	/** Reads the configuration record. */
	async read(): Promise<Result<StoredConfiguration, string>> {
		const entry = await this.keyValueService.get(configurationKey, callTimeoutMilliseconds);
		return entry.mapErr(error => error.message).andThen(value => parseConfigurationEntry(value));
	}

	/**
	 * Changes the configuration with a single compare-and-swap.
	 *
	 * @param baseVersion - Version on which the change is based; 0 if there is no configuration yet.
	 * @param author - Name of the operator.
	 * @param computeSections - Computes the new sections from the current ones.
	 */
	async change(baseVersion: number, author: string, computeSections: (current: ConfigurationSections) => UnvalidatedSections): Promise<ChangeOutcome> {
		const readResult = await this.read();
		if (readResult.isErr()) {
			return {kind: ChangeOutcomeKind.Failed, message: readResult.error};
		}

		const {configuration: current, revision} = readResult.value;
		const sections = {contracts: current?.contracts ?? [], groups: current?.groups ?? []};
		const updatedSections = computeSections(sections);
		const differences = listDifferences(sections, updatedSections);
		if ((current?.version ?? 0) !== baseVersion) {
			return {kind: ChangeOutcomeKind.Conflict, current, differences};
		}

		const validated = validateConfiguration({
			version: baseVersion + 1, changeIdentifier: randomUUID(), author, time: new Date().toISOString(), ...updatedSections,
		});
		if (validated.isErr()) {
			return {kind: ChangeOutcomeKind.Invalid, problems: validated.error};
		}

		const newConfiguration = validated.value;
		const normalizedDifferences = listDifferences(sections, {contracts: newConfiguration.contracts, groups: newConfiguration.groups});
		return normalizedDifferences.length === 0
			? {kind: ChangeOutcomeKind.Unchanged, version: baseVersion}
			: this.#write(newConfiguration, revision, normalizedDifferences);
	}

	/**
	 * Reads the history, newest entry first. Entries that could not be written or read are left out.
	 *
	 * @param newestVersion - Version at which the history starts.
	 */
	async readHistory(newestVersion: number): Promise<HistoryEntry[]> {
		const versions = Array.from({length: Math.min(newestVersion, maximumHistoryEntries)}, (_, index) => newestVersion - index);
		const entries = await Promise.all(versions.map(async version => this.keyValueService.get(getHistoryKey(version), callTimeoutMilliseconds)));
		return entries.flatMap(entry => entry.isOk() ? parseHistoryEntry(entry.value) ?? [] : []);
	}

	async #write(newConfiguration: Configuration, revision: number, differences: readonly string[]): Promise<ChangeOutcome> {
		const swapResult = await this.keyValueService.compareAndSwap(configurationKey, revision, JSON.stringify(newConfiguration), callTimeoutMilliseconds);
		let outcome: ChangeOutcome;
		if (swapResult.isErr()) {
			outcome = swapResult.error.verdict === Verdict.NotRun
				? {kind: ChangeOutcomeKind.Failed, message: swapResult.error.message}
				: await this.#readBack(newConfiguration, differences);
		} else if (swapResult.value.swapped) {
			outcome = {kind: ChangeOutcomeKind.Accepted, version: newConfiguration.version, differences};
		} else {
			outcome = createConflictOutcome(newConfiguration, swapResult.value.current);
		}

		if (outcome.kind === ChangeOutcomeKind.Accepted) {
			await this.#writeHistory(newConfiguration, differences);
		}

		return outcome;
	}

	/** Reads whether a write without a reply took effect. It is not repeated, as the first write may still take effect. */
	async #readBack(newConfiguration: Configuration, differences: readonly string[]): Promise<ChangeOutcome> {
		for (let attempt = 0; attempt < readBackAttempts; attempt++) {
			const readResult = await this.read();
			const current = readResult.isOk() ? readResult.value.configuration : undefined;
			if (current?.changeIdentifier === newConfiguration.changeIdentifier) {
				return {kind: ChangeOutcomeKind.Accepted, version: newConfiguration.version, differences};
			}

			if (current?.version === newConfiguration.version) {
				return createConflictOutcome(newConfiguration, undefined, current);
			}

			if (current && current.version > newConfiguration.version) {
				return {kind: ChangeOutcomeKind.Unknown, message: `version ${current.version} by ${current.author} is in force and may have replaced this change`};
			}

			await this.timerService.sleep(readBackPauseMilliseconds);
		}

		return {kind: ChangeOutcomeKind.Unknown, message: `the reply to the write was lost, and change ${newConfiguration.changeIdentifier} has not appeared in the key-value service`};
	}

	/** Writes the history entry on a best-effort basis. A missing entry does not affect the configuration. */
	async #writeHistory(newConfiguration: Configuration, differences: readonly string[]): Promise<void> {
		const {version, changeIdentifier, author, time} = newConfiguration;
		const entry: HistoryEntry = {
			version, changeIdentifier, author, time, differences: differences.slice(0, maximumDifferencesPerEntry),
		};
		await this.keyValueService.compareAndSwap(getHistoryKey(version), 0, JSON.stringify(entry), callTimeoutMilliseconds);
		const expiredKey = getHistoryKey(version - maximumHistoryEntries);
		const expired = version > maximumHistoryEntries ? await this.keyValueService.get(expiredKey, callTimeoutMilliseconds) : ok(undefined);
		if (expired.isOk() && expired.value && expired.value.value !== '') {
			// `KeyValueService` has no delete operation, so an expired entry is emptied.
			await this.keyValueService.compareAndSwap(expiredKey, expired.value.revision, '', callTimeoutMilliseconds);
		}
	}
}

/**
 * Validates a record: the schema, unique names, statement patterns and the size.
 *
 * @param record - Record to validate.
 * @returns The record with all defaults, or the problems, each with the path of the field.
 */
export function validateConfiguration(record: unknown): Result<Configuration, string[]> {
	const parsed = configurationSchema.safeParse(record);
	if (!parsed.success) {
		return err(parsed.error.issues.map(issue => `${issue.path.join('.') || 'input'}: ${issue.message}`));
	}

	const problems = [...findDuplicateNames(parsed.data), ...findInvalidPatterns(parsed.data)];
	const bytes = Buffer.byteLength(JSON.stringify(parsed.data));
	if (bytes > maximumConfigurationBytes) {
		problems.push(`input: the record has ${bytes} bytes; the limit is ${maximumConfigurationBytes}`);
	}

	return problems.length === 0 ? ok(parsed.data) : err(problems);
}

/** Hosts look customers, users, groups and instances up by name, so a name must be unique in the record. */
function findDuplicateNames(configuration: Configuration): string[] {
	const names: Record<string, string[]> = {
		'contracts.*.customer': configuration.contracts.map(contract => contract.customer),
		'contracts.*.users.*.name': configuration.contracts.flatMap(contract => contract.users.map(user => user.name)),
		'groups.*.name': configuration.groups.map(group => group.name),
		'groups.*.instances.*.name': configuration.groups.flatMap(group => group.instances.map(instance => instance.name)),
	};
	return Object.entries(names).flatMap(([path, list]) => list
		.filter((name, index) => list.indexOf(name) !== index)
		.map(name => `${path}: "${name}" is used more than once`));
}

/** Hosts treat a pattern that does not compile as one that matches nothing, so its rule would have no effect. */
function findInvalidPatterns(configuration: Configuration): string[] {
	return configuration.contracts.flatMap((contract, contractIndex) => contract.rules.flatMap(({statementPattern}, ruleIndex) => {
		try {
			// eslint-disable-next-line no-new -- only the syntax is checked, with the flags that hosts use
			new RegExp(statementPattern ?? '', 'iv');
			return [];
		} catch (error) {
			return [`contracts.${contractIndex}.rules.${ruleIndex}.statementPattern: ${String(error)}`];
		}
	}));
}

/** Compares with `currentConfiguration` if given, else with the entry that the failed compare-and-swap returned. */
function createConflictOutcome(newConfiguration: Configuration, entry: KeyValueEntry | undefined, currentConfiguration?: Configuration): ChangeOutcome {
	const parsed = parseConfigurationEntry(entry);
	const current = currentConfiguration ?? (parsed.isOk() ? parsed.value.configuration : undefined);
	const currentSections = {contracts: current?.contracts ?? [], groups: current?.groups ?? []};
	return {
		kind: ChangeOutcomeKind.Conflict,
		current,
		differences: listDifferences(currentSections, {contracts: newConfiguration.contracts, groups: newConfiguration.groups}),
	};
}

function parseConfigurationEntry(entry: KeyValueEntry | undefined): Result<StoredConfiguration, string> {
	if (!entry) {
		return ok({configuration: undefined, revision: 0});
	}

	try {
		const parsed = configurationSchema.safeParse(JSON.parse(entry.value));
		return parsed.success
			? ok({configuration: parsed.data, revision: entry.revision})
			: err(`the record in the key-value service is invalid: ${z.prettifyError(parsed.error)}`);
	} catch {
		return err('the record in the key-value service is not valid JSON');
	}
}

function parseHistoryEntry(entry: KeyValueEntry | undefined): HistoryEntry | undefined {
	try {
		const parsed = historySchema.safeParse(JSON.parse(entry?.value ?? ''));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function getHistoryKey(version: number): string {
	return `tarragon/history/${version}`;
}
