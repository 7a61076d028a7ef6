import {SystemTimerService} from '@tarragonstack/core';
import {HttpEndpoint, HttpError, type HttpCall} from '../process/index.js';

/** Path prefix of health queries, followed by the service name. */
const healthPathPrefix = '/v1/health/service/';

/** Path prefix of deregistrations, followed by the service identifier. */
const deregisterPathPrefix = '/v1/agent/service/deregister/';

/** Options of a `MembershipServer`. */
export type MembershipOptions = {
	readonly address: string;
	readonly port: number;
	/** Delay until a change becomes visible. */
	readonly lagMilliseconds: number;
};

type Service = {
	readonly ID: string;
	readonly Service: string;
	readonly Address: string;
	readonly Port: number;
	readonly Meta: Readonly<Record<string, unknown>>;
};

/** Stand-in for Consul: service registration and health queries, with a configurable lag. */
export class MembershipServer implements AsyncDisposable {
	readonly #options: MembershipOptions;
	readonly #timerService = new SystemTimerService();
	readonly #endpoint = new HttpEndpoint(call => this.#handle(call));
	readonly #services = new Map<string, Service>();
	readonly #pendingChanges = new Set<Disposable>();
	#lagMilliseconds: number;
	#isDown = false;
	#index = 1;
	#callCount = 0;

	/** @param options - Listening address and initial lag. */
	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#lagMilliseconds = options.lagMilliseconds;
	}

	/** Starts listening and returns the address and port. */
	async listen(): Promise<string> {
		return this.#endpoint.listen(this.#options.address, this.#options.port);
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		for (const pending of this.#pendingChanges) {
			pending[Symbol.dispose]();
		}

		await this.#endpoint[Symbol.asyncDispose]();
	}

	#handle(call: HttpCall): unknown {
		if (call.path === '/control') {
			this.#lagMilliseconds = Number(call.body.lagMilliseconds ?? this.#lagMilliseconds);
			this.#isDown = Boolean(call.body.outage ?? this.#isDown);
			return {lagMilliseconds: this.#lagMilliseconds, outage: this.#isDown};
		}

		if (call.path === '/status') {
			return {calls: this.#callCount, services: [...this.#services.values()]};
		}

		this.#callCount++;
		if (this.#isDown) {
			throw new HttpError(500, {error: 'No cluster leader'});
		}

		if (call.method === 'GET' && call.path.startsWith(healthPathPrefix)) {
			return this.#getHealth(call, call.path.slice(healthPathPrefix.length));
		}

		if (call.method === 'PUT' && call.path === '/v1/agent/service/register') {
			return this.#register(call.body);
		}

		if (call.method === 'PUT' && call.path.startsWith(deregisterPathPrefix)) {
			return this.#applyAfterLag(decodeURIComponent(call.path.slice(deregisterPathPrefix.length)));
		}

		throw new HttpError(404, {error: `unknown route ${call.method} ${call.path}`});
	}

	#getHealth(call: HttpCall, name: string): unknown {
		call.response.setHeader('x-consul-index', String(this.#index));
		const state = parseStateFilter(call.query.get('filter'));
		const services = [...this.#services.values()]
			.filter(service => service.Service === name && (state === undefined || service.Meta.state === state));
		return services.map(service => ({
			Node: {Node: service.ID, Address: service.Address},
			Service: service,
			Checks: [{CheckID: `service:${service.ID}`, Status: 'passing'}],
		}));
	}

	#register(body: Readonly<Record<string, unknown>>): unknown {
		if (typeof body.Name !== 'string') {
			throw new HttpError(400, {error: 'Missing service name'});
		}

		const identifier = typeof body.ID === 'string' ? body.ID : body.Name;
		return this.#applyAfterLag(identifier, {
			ID: identifier,
			Service: body.Name,
			Address: String(body.Address),
			Port: Number(body.Port),
			Meta: (body.Meta ?? {}) as Record<string, unknown>,
		});
	}

	/** Registers or removes a service after the lag. Changes are applied in order as long as the lag stays the same. */
	#applyAfterLag(identifier: string, service?: Service): unknown {
		const apply = () => {
			if (service) {
				this.#services.set(identifier, service);
			} else {
				this.#services.delete(identifier);
			}

			this.#index++;
		};

		if (this.#lagMilliseconds === 0) {
			apply();
		} else {
			const pending = this.#timerService.schedule(this.#lagMilliseconds, () => {
				this.#pendingChanges.delete(pending);
				apply();
			});
			this.#pendingChanges.add(pending);
		}

		return {};
	}
}

/** Parses the only form of filter expression that the product sends. */
function parseStateFilter(filter: string | null): string | undefined {
	if (filter === null) {
		return undefined;
	}

	const state = /^Service\.Meta\.state == "(?<state>[a-z]+)"$/v.exec(filter)?.groups?.state;
	if (state === undefined) {
		throw new HttpError(400, {error: `Failed to create boolean expression evaluator: ${filter}`});
	}

	return state;
}
