import {err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import {
	MemberKind, MemberState, type Member, type MemberQuery, type MembershipList,
} from './membership-list.js';

/** Maximum size of a reply, in bytes; sufficient for about 2,000 entries. */
const maximumReplyBytes = 4_194_304;

const entrySchema = z.object({
	Node: z.object({
		Node: z.string(),
		Address: z.string(),
		Meta: z.record(z.string(), z.string()).nullish(),
	}),
	Service: z.object({
		ID: z.string().min(1),
		Address: z.string().default(''),
		Port: z.number().int().min(0).max(65_535),
		Meta: z.record(z.string(), z.string()).nullish(),
	}),
	Checks: z.array(z.object({CheckID: z.string().default(''), Status: z.string()})).default([]),
});

type HealthEntry = z.output<typeof entrySchema>;

/** Options of `ConsulMembershipList`. */
export type ConsulMembershipListOptions = {
	/** Base URL of the agent, for instance `http://127.0.0.1:8500`. */
	readonly url: string;
	/** Source address of the connections. */
	readonly localAddress?: string;
	/** Name of the Consul service for each kind of member. */
	readonly services?: Readonly<Record<MemberKind, string>>;
};

/** Default names of the Consul services. */
export const defaultServiceNames: Readonly<Record<MemberKind, string>> = {
	[MemberKind.Host]: 'tarragon-host',
	[MemberKind.Upstream]: 'tarragon-upstream',
};

/**
 * Membership list that is read through the health API of Consul.
 *
 * The identifier of a service instance is the name of the member, and the metadata field `availability_zone` is its zone.
 * A member is leaving if its metadata field `state` is `leaving` or if it is in maintenance mode. Members with any other
 * critical check are omitted.
 */
export class ConsulMembershipList implements MembershipList {
	readonly #pool: Pool;
	readonly #services: Readonly<Record<MemberKind, string>>;

	/**
	 * @param options - Address of the agent and of this host.
	 */
	constructor(options: ConsulMembershipListOptions) {
		this.#services = options.services ?? defaultServiceNames;
		this.#pool = new Pool(options.url, {
			connections: 2,
			connect: {timeout: 1000},
			...(options.localAddress && {localAddress: options.localAddress}),
		});
	}

	/** @inheritdoc */
	async getMembers(query: MemberQuery, timeoutMilliseconds: number): Promise<Result<readonly Member[], string>> {
		try {
			const signal = AbortSignal.timeout(timeoutMilliseconds);
			return ok(await this.#read(query, signal));
		} catch (error) {
			return err(`reading the membership list failed: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#pool.destroy();
	}

	async #read({kind, state}: MemberQuery, signal: AbortSignal): Promise<Member[]> {
		const query = state === undefined ? {} : {filter: `Service.Meta.state == "${state}"`};
		const response = await this.#pool.request({path: `/v1/health/service/${encodeURIComponent(this.#services[kind])}`, method: 'GET', query, signal});
		const chunks: Buffer[] = [];
		let length = 0;
		for await (const chunk of response.body as AsyncIterable<Buffer>) {
			length += chunk.length;
			if (length > maximumReplyBytes) {
				throw new Error('the reply exceeds the maximum size');
			}

			chunks.push(chunk);
		}

		if (response.statusCode !== 200) {
			throw new Error(`HTTP status ${response.statusCode}`);
		}

		const entries = z.array(z.unknown()).parse(JSON.parse(Buffer.concat(chunks).toString('utf8')));
		// Skip invalid entries, so that one of them does not hide the other members.
		return entries.flatMap(entry => {
			const parsed = entrySchema.safeParse(entry);
			const member = parsed.success ? toMember(kind, parsed.data) : undefined;
			return member ? [member] : [];
		});
	}
}

function toMember(kind: MemberKind, entry: HealthEntry): Member | undefined {
	const availabilityZone = entry.Service.Meta?.availability_zone ?? entry.Node.Meta?.availability_zone;
	const critical = entry.Checks.filter(check => check.Status === 'critical');
	const maintenance = critical.some(check => isMaintenance(check.CheckID));
	if (availabilityZone === undefined || critical.some(check => !isMaintenance(check.CheckID))) {
		return undefined;
	}

	return {
		name: entry.Service.ID,
		kind,
		availabilityZone,
		address: `${entry.Service.Address === '' ? entry.Node.Address : entry.Service.Address}:${entry.Service.Port}`,
		state: maintenance || entry.Service.Meta?.state === 'leaving' ? MemberState.Leaving : MemberState.Live,
	};
}

function isMaintenance(checkIdentifier: string): boolean {
	return checkIdentifier === '_node_maintenance' || checkIdentifier.startsWith('_service_maintenance');
}
