import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';

/** Receives the counters that hosts send in the DogStatsD format. */
export class MetricsReceiver implements AsyncDisposable {
	/**
	 * Starts listening.
	 *
	 * @param address - IP address to listen on.
	 */
	static async start(address: string): Promise<MetricsReceiver> {
		const receiver = new MetricsReceiver();
		receiver.#socket.bind(0, address);
		await once(receiver.#socket, 'listening');
		return receiver;
	}

	readonly #socket: Socket = createSocket('udp4');
	readonly #lines: string[] = [];

	private constructor() {
		this.#socket.on('message', message => {
			this.#lines.push(...message.toString('utf8').split('\n'));
		});
	}

	/** Address and port for the settings of a host. */
	get target(): {address: string; port: number} {
		const {address, port} = this.#socket.address();
		return {address, port};
	}

	/**
	 * Returns the sum of a counter.
	 *
	 * @param name - Name of the metric, without the prefix `tarragon.`.
	 * @param tag - Tag that the lines must contain.
	 */
	getCount(name: string, tag: string): number {
		return this.#lines
			.filter(line => line.startsWith(`tarragon.${name}:`) && line.includes(tag))
			.reduce((sum, line) => sum + Number(/:(?<value>\d+)\|c/v.exec(line)?.groups!.value ?? 0), 0);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#socket.close();
		await once(this.#socket, 'close');
	}
}
