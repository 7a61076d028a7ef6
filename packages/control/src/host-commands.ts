import {z} from '@tarragonstack/core';
import {request as sendRequest} from 'undici';
import {fail, succeed, type CommandResult} from './command-result.js';
import {ExitCode} from './exit-code.js';

/** Time limit of a request to a host, in milliseconds. A promotion takes up to about a second. */
const requestTimeoutMilliseconds = 10_000;

/** Exit codes for the answers to a promotion that are not a success. */
const promotionExitCodes: Readonly<Record<number, ExitCode>> = {
	400: ExitCode.InvalidInput,
	404: ExitCode.InvalidInput,
	409: ExitCode.Conflict,
};

/** Part of `GET /status` that is printed. */
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

type HostAnswer = {readonly host: string; readonly status?: number; readonly body?: unknown; readonly error?: string; readonly notSent?: boolean};

/** Commands that ask hosts through their admin ports. */
export class HostCommands {
	/**
	 * @param hosts - Admin addresses, each an IP address and a port.
	 */
	constructor(private readonly hosts: readonly string[]) {}

	/** Prints health, configuration version and its age for each host, and the state of each group. */
	async status(): Promise<CommandResult> {
		const answers = await Promise.all(this.hosts.map(async host => request(host, 'GET', '/status')));
		const statuses = answers.map(({status, body}) => status === 200 ? statusSchema.safeParse(body).data : undefined);
		const lines = [
			...answers.map((answer, index) => describeHost(answer, statuses[index])),
			...describeGroups(statuses.filter(status => status !== undefined)),
		];
		const failed = statuses.filter(status => !status?.health.accepting);
		return failed.length === 0
			? succeed(lines, {hosts: answers})
			: {
				exitCode: ExitCode.Failure,
				lines: [...lines, `${failed.length} of ${answers.length} hosts are not healthy. Check their logs and the addresses.`],
				data: {hosts: answers},
			};
	}

	/**
	 * Asks a host to promote an instance. The next host is asked only if the request cannot have reached the former one.
	 *
	 * @param group - Name of the group.
	 * @param instance - Name of the instance, or nothing to let the host choose.
	 */
	async promote(group: string, instance: string | undefined): Promise<CommandResult> {
		let answer: HostAnswer | undefined;
		for (const host of this.hosts) {
			answer = await request(host, 'POST', '/promote', {group, ...(instance !== undefined && {instance})});
			if (!answer.notSent) {
				break;
			}
		}

		if (!answer || answer.notSent) {
			return fail(ExitCode.Failure, `no host could be reached${answer ? `: ${answer.error}` : ''}`, 'Nothing was promoted. Give the admin address of a running host with --host.');
		}

		if (answer.status === undefined) {
			return fail(ExitCode.OutcomeUnknown, `outcome unknown: ${answer.host} did not answer (${answer.error})`, 'Run "tarragonctl status" to see the primary before you promote again.');
		}

		const text = JSON.stringify(answer.body);
		return answer.status >= 200 && answer.status < 300
			? succeed([`${answer.host}: ${text}`], {host: answer.host, answer: answer.body})
			: fail(promotionExitCodes[answer.status] ?? ExitCode.Failure, `${answer.host} refused with status ${answer.status}: ${text}`, 'Run "tarragonctl status" to see the state of the group.');
	}
}

function describeHost(answer: HostAnswer, status: HostStatus | undefined): string {
	if (!status) {
		return `${answer.host}: ${answer.error === undefined ? `status ${answer.status}, ${JSON.stringify(answer.body)}` : `no answer (${answer.error})`}`;
	}

	const {host, health, configuration} = status;
	const work = health.accepting ? 'accepts work' : `accepts no work (${health.reason ?? 'no reason given'})`;
	const version = configuration
		? `version ${configuration.version} by ${configuration.author} in force for ${(configuration.inForceForMilliseconds / 1000).toFixed(1)} s`
		: 'no configuration version';
	return `${host.name} ${answer.host}: ${work}, ${version}`;
}

/** Describes each group as the host with the newest term sees it. */
function describeGroups(statuses: readonly HostStatus[]): string[] {
	const groups = new Map<string, HostStatus['groups'][number]>();
	for (const group of statuses.flatMap(status => status.groups)) {
		const known = groups.get(group.name);
		if (!known || (group.term ?? -1) > (known.term ?? -1)) {
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

async function request(host: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<HostAnswer> {
	try {
		const response = await sendRequest(`http://${host}${path}`, {
			method,
			...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
			signal: AbortSignal.timeout(requestTimeoutMilliseconds),
		});
		return {host, status: response.statusCode, body: parseBody(await response.body.text())};
	} catch (error) {
		const code = error instanceof Error && 'code' in error ? String(error.code) : '';
		return {
			host,
			error: error instanceof Error ? error.message : String(error),
			notSent: ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(code),
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
