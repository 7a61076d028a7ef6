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

type HostAnswer = {readonly host: string; readonly status?: number; readonly body?: unknown; readonly error?: string; readonly notSent?: boolean};

/** Commands that ask hosts through their admin ports. */
export class HostCommands {
	/**
	 * @param hosts - Admin addresses, each an IP address and a port.
	 */
	constructor(private readonly hosts: readonly string[]) {}

	/** Prints the health of each host. */
	async status(): Promise<CommandResult> {
		const answers = await Promise.all(this.hosts.map(async host => request(host, 'GET', '/health')));
		const lines = answers.map(({host, status, body, error}) => error === undefined
			? `${host}: status ${status}, ${JSON.stringify(body)}`
			: `${host}: no answer (${error})`);
		const failed = answers.filter(({status}) => status !== 200);
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
