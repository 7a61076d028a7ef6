import {z} from '@tarragonstack/core';
import {request as sendRequest} from 'undici';
import {fail, succeed, type CommandResult} from './command-result.js';
import {ExitCode} from './exit-code.js';

/** Time limit of a request to a host, in milliseconds. A promotion takes up to about a second. */
const requestTimeoutMilliseconds = 10_000;

/** Exit codes for HTTP error statuses of a promotion. Other errors are a `Failure`. */
const promotionExitCodes: Readonly<Record<number, ExitCode>> = {
	400: ExitCode.InvalidInput,
	404: ExitCode.InvalidInput,
	409: ExitCode.Conflict,
};

/** Fields of `GET /status` that are printed. */
const statusSchema = z.object({
	host: z.object({name: z.string()}),
	health: z.object({accepting: z.boolean(), reason: z.string().optional()}),
	configuration: z.object({version: z.number(), author: z.string(), inForceForMilliseconds: z.number()}).optional(),
	groups: z.array(z.object({
		name: z.string(),
		primary: z.string().optional(),
		term: z.number().optional(),
		instances: z.array(z.object({
			name: z.string(),
			role: z.string().optional(),
			leaving: z.boolean().optional(),
			position: z.object({term: z.number(), index: z.number()}).optional(),
			lagEntries: z.number().optional(),
		})),
	})).default([]),
});

type HostStatus = z.infer<typeof statusSchema>;

/** Response of a host, or the error if there is none. `--json` prints it under these names. */
type HostResponse = {readonly host: string; readonly status?: number; readonly body?: unknown; readonly error?: string; readonly notSent?: boolean};

/** Commands that call hosts through their admin ports. */
export class HostCommands {
	/**
	 * @param hosts - Admin addresses, each an IP address and a port.
	 */
	constructor(private readonly hosts: readonly string[]) {}

	/** Prints the health, configuration version and its age for each host, and the state of each group. */
	async status(): Promise<CommandResult> {
		const responses = await Promise.all(this.hosts.map(async host => requestHost(host, 'GET', '/status')));
		const statuses = responses.map(({status, body}) => status === 200 ? statusSchema.safeParse(body).data : undefined);
		const lines = [
			...responses.map((response, index) => describeHost(response, statuses[index])),
			...describeGroups(statuses.filter(status => status !== undefined)),
		];
		const unhealthy = statuses.filter(status => !status?.health.accepting);
		return unhealthy.length === 0
			? succeed(lines, {hosts: responses})
			: {
				exitCode: ExitCode.Failure,
				lines: [...lines, `${unhealthy.length} of ${responses.length} hosts are not healthy. Check their logs and the addresses.`],
				data: {hosts: responses},
			};
	}

	/**
	 * Asks a host to promote an instance. The next host is tried only if the request cannot have reached the previous one.
	 *
	 * @param group - Name of the group.
	 * @param instance - Name of the instance, or `undefined` to let the host choose.
	 */
	async promote(group: string, instance: string | undefined): Promise<CommandResult> {
		let response: HostResponse | undefined;
		for (const host of this.hosts) {
			response = await requestHost(host, 'POST', '/promote', {group, ...(instance !== undefined && {instance})});
			if (!response.notSent) {
				break;
			}
		}

		if (!response || response.notSent) {
			return fail(ExitCode.Failure, `no host could be reached${response ? `: ${response.error}` : ''}`, 'Nothing was promoted. Give the admin address of a running host with --host.');
		}

		if (response.status === undefined) {
			return fail(ExitCode.OutcomeUnknown, `outcome unknown: ${response.host} did not answer (${response.error})`, 'Run "tarragonctl status" to see the primary before you promote again.');
		}

		const bodyText = JSON.stringify(response.body);
		return response.status >= 200 && response.status < 300
			? succeed([`${response.host}: ${bodyText}`], {host: response.host, answer: response.body})
			: fail(
				promotionExitCodes[response.status] ?? ExitCode.Failure,
				`${response.host} refused with status ${response.status}: ${bodyText}`,
				'Run "tarragonctl status" to see the state of the group.',
			);
	}
}

function describeHost(response: HostResponse, status: HostStatus | undefined): string {
	if (!status) {
		return `${response.host}: ${response.error === undefined ? `status ${response.status}, ${JSON.stringify(response.body)}` : `no answer (${response.error})`}`;
	}

	const {host, health, configuration} = status;
	const acceptance = health.accepting ? 'accepts work' : `accepts no work (${health.reason ?? 'no reason given'})`;
	const version = configuration
		? `version ${configuration.version} by ${configuration.author} in force for ${(configuration.inForceForMilliseconds / 1000).toFixed(1)} s`
		: 'no configuration version';
	return `${host.name} ${response.host}: ${acceptance}, ${version}`;
}

/** Describes each group as reported by the host with the highest term. */
function describeGroups(statuses: readonly HostStatus[]): string[] {
	const groups = new Map<string, HostStatus['groups'][number]>();
	for (const group of statuses.flatMap(status => status.groups)) {
		const newest = groups.get(group.name);
		if (!newest || (group.term ?? -1) > (newest.term ?? -1)) {
			groups.set(group.name, group);
		}
	}

	return [...groups.values()].flatMap(({name, primary, term, instances}) => [
		`group ${name}: ${primary === undefined ? 'no primary known' : `primary ${primary}, term ${term}`}`,
		...instances.map(instance => {
			const position = instance.position ? `position ${instance.position.term}:${instance.position.index}, lag ${instance.lagEntries ?? 'unknown'}` : 'position unknown';
			return `  ${instance.name}: ${instance.role ?? 'not reached'}, ${position}${instance.leaving ? ', leaving' : ''}`;
		}),
	]);
}

async function requestHost(host: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<HostResponse> {
	try {
		const response = await sendRequest(`http://${host}${path}`, {
			method,
			...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
			signal: AbortSignal.timeout(requestTimeoutMilliseconds),
		});
		return {host, status: response.statusCode, body: parseBody(await response.body.text())};
	} catch (error) {
		const errorCode = error instanceof Error && 'code' in error ? String(error.code) : '';
		return {
			host,
			error: error instanceof Error ? error.message : String(error),
			notSent: ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(errorCode),
		};
	}
}

function parseBody(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}
