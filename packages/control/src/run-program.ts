import {EtcdKeyValueService, SystemTimerService} from '@tarragonstack/core';
import {
	command, flag, multioption, number, option, optional, positional, runSafely, string, subcommands, type Type,
} from 'cmd-ts';
import {fail, type CommandResult} from './command-result.js';
import {ConfigurationCommands, Section} from './configuration-commands.js';
import {ExitCode} from './exit-code.js';
import {HostCommands} from './host-commands.js';

/** Output functions, interrupt signal and user of the process. */
export type ProgramEnvironment = {
	readonly print: (line: string) => void;
	readonly printError: (line: string) => void;
	/** Stops `watch` when aborted. */
	readonly signal: AbortSignal;
	/** Name of the operating-system user, the default author of `drain` and `undrain`. */
	readonly userName: string;
};

type CommonOptions = {readonly keyValueService: string; readonly json: boolean};

const urlType: Type<string, string> = {
	...string,
	async from(text) {
		if (!/^https?:\/\//v.test(text) || !URL.canParse(text)) {
			throw new Error(`"${text}" is not an HTTP or HTTPS URL; example: http://127.0.0.1:2379`);
		}

		return text;
	},
};

const addressType: Type<string, string> = {
	...string,
	async from(text) {
		if (!/^[\d.]{7,15}:\d{1,5}$/v.test(text)) {
			throw new Error(`"${text}" is not an IP address and port; example: 127.0.0.1:7001`);
		}

		return text;
	},
};

const versionType: Type<string, number> = {
	...number,
	async from(text) {
		if (!/^\d{1,15}$/v.test(text)) {
			throw new Error(`"${text}" is not a version number; "list" shows the current one, and 0 means that there is no configuration yet`);
		}

		return Number(text);
	},
};

const json = flag({long: 'json', description: 'print one JSON object per result'});
const keyValueService = option({long: 'key-value-service', type: urlType, description: 'URL of the key-value service'});
const commonOptions = {keyValueService, json};
const hosts = multioption({
	long: 'host',
	type: {
		async from(texts: string[]) {
			if (texts.length === 0) {
				throw new Error('the admin address of at least one host is required');
			}

			return Promise.all(texts.map(async text => addressType.from(text)));
		},
		displayName: 'address',
	},
	description: 'admin address of a host; may be repeated',
});
const file = positional({displayName: 'FILE', description: 'JSON file; an array replaces the section, an object adds or replaces one element'});

/**
 * Runs `tarragonctl`.
 *
 * @param argv - Arguments, without the program's name.
 * @param environment - Output functions, interrupt signal and user of the process.
 * @returns The exit code of the process.
 */
export async function runProgram(argv: readonly string[], environment: ProgramEnvironment): Promise<ExitCode> {
	let exitCode = ExitCode.Accepted;
	const printResult = (result: CommandResult, asJson: boolean) => {
		const write = result.exitCode === ExitCode.Accepted || asJson ? environment.print : environment.printError;
		for (const line of asJson ? [JSON.stringify(result.data)] : result.lines) {
			write(line);
		}
	};

	const reportResult = async (asJson: boolean, pendingResult: Promise<CommandResult>) => {
		const result = await pendingResult;
		exitCode = result.exitCode;
		if (result.lines.length > 0) {
			printResult(result, asJson);
		}
	};

	const runConfigurationCommand = async (values: CommonOptions, runCommand: (commands: ConfigurationCommands) => Promise<CommandResult>) => {
		await using service = new EtcdKeyValueService({url: values.keyValueService});
		await reportResult(values.json, runCommand(new ConfigurationCommands(service, new SystemTimerService())));
	};

	const createDrainCommand = (name: string, leaving: boolean, description: string) => command({
		name,
		description,
		args: {
			...commonOptions,
			author: option({long: 'author', defaultValue: () => environment.userName, description: 'name of the operator'}),
			instance: positional({displayName: 'INSTANCE'}),
		},
		handler: async values => runConfigurationCommand(values, async commands => commands.setLeaving(values.instance, leaving, values.author)),
	});

	const program = subcommands({
		name: 'tarragonctl',
		description: 'Exit codes: 0 accepted, 1 failure, 2 usage or invalid input, 3 conflict, 4 outcome unknown.',
		cmds: {
			[Section.Contracts]: createSectionCommands(Section.Contracts, runConfigurationCommand),
			[Section.Groups]: createSectionCommands(Section.Groups, runConfigurationCommand),
			drain: createDrainCommand('drain', true, 'stop sending new work to an instance and let it finish its current work'),
			undrain: createDrainCommand('undrain', false, 'send new work to an instance again'),
			status: command({
				name: 'status',
				description: 'print the state of hosts and groups',
				args: {hosts, json},
				handler: async values => reportResult(values.json, new HostCommands(values.hosts).status()),
			}),
			promote: command({
				name: 'promote',
				description: 'replace the primary of a group',
				args: {
					hosts,
					json,
					instance: option({long: 'instance', type: optional(string), description: 'instance to promote; chosen by the host if not given'}),
					group: positional({displayName: 'GROUP'}),
				},
				handler: async values => reportResult(values.json, new HostCommands(values.hosts).promote(values.group, values.instance)),
			}),
			watch: command({
				name: 'watch',
				description: 'print each accepted version until interrupted',
				args: commonOptions,
				handler: async values => runConfigurationCommand(values, async commands => commands.watch(result => {
					printResult(result, values.json);
				}, environment.signal)),
			}),
		},
	});

	try {
		const parsed = await runSafely(program, [...argv]);
		if (parsed._tag === 'error') {
			const {message, into, exitCode: code} = parsed.error.config;
			(into === 'stderr' ? environment.printError : environment.print)(message);
			return code === 0 ? ExitCode.Accepted : ExitCode.InvalidInput;
		}
	} catch (error) {
		printResult(fail(ExitCode.Failure, error instanceof Error ? error.message : String(error), 'Report this error with the command that led to it.'), false);
		return ExitCode.Failure;
	}

	return exitCode;
}

function createSectionCommands(section: Section, runConfigurationCommand: (values: CommonOptions, runCommand: (commands: ConfigurationCommands) => Promise<CommandResult>) => Promise<void>) {
	return subcommands({
		name: section,
		cmds: {
			get: command({
				name: 'get',
				description: 'print the section, or one element of it',
				args: {...commonOptions, name: positional({type: optional(string), displayName: 'NAME'})},
				handler: async values => runConfigurationCommand(values, async commands => commands.get(section, values.name)),
			}),
			list: command({
				name: 'list',
				description: 'print the version and the names',
				args: commonOptions,
				handler: async values => runConfigurationCommand(values, async commands => commands.list(section)),
			}),
			check: command({
				name: 'check',
				description: 'validate a file without writing it',
				args: {...commonOptions, file},
				handler: async values => runConfigurationCommand(values, async commands => commands.check(section, values.file)),
			}),
			diff: command({
				name: 'diff',
				description: 'print the changes that "put" would make',
				args: {...commonOptions, file},
				handler: async values => runConfigurationCommand(values, async commands => commands.diff(section, values.file)),
			}),
			put: command({
				name: 'put',
				description: 'write the section, or one element of it, from a file',
				args: {
					...commonOptions,
					basedOn: option({long: 'based-on', type: versionType, description: 'version on which the change is based; 0 if there is no configuration yet'}),
					author: option({long: 'author', description: 'name of the operator'}),
					file,
				},
				handler: async values => runConfigurationCommand(values, async commands => commands.put(section, values.file, values.basedOn, values.author)),
			}),
			history: command({
				name: 'history',
				description: 'print the recorded changes, newest first',
				args: commonOptions,
				handler: async values => runConfigurationCommand(values, async commands => commands.history(section)),
			}),
		},
	});
}
