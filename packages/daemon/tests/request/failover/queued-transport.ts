import {type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {type ControlOptions, type ControlError, ControlErrorKind} from '../../../src/index.js';
import {type InstanceOperation, type SimulatedGroup, type SimulatedTransport} from './simulated-group.js';

type Message = () => void;

/** Transport that queues messages until the test delivers or drops them. The order per link and direction is kept. */
export class QueuedTransport implements SimulatedTransport {
	/** Queued messages by link and direction. */
	readonly queues = new Map<string, Message[]>();
	/** Links that lose their messages, as `host instance`. */
	readonly partitions = new Set<string>();
	readonly #group: SimulatedGroup;
	readonly #timerService: TimerService;
	#attempts = 0;

	constructor(group: SimulatedGroup, timerService: TimerService) {
		this.#group = group;
		this.#timerService = timerService;
	}

	async call<Value>(
		host: string,
		instanceName: string,
		operation: InstanceOperation<Value>,
		options: ControlOptions,
	): Promise<Result<Value, ControlError>> {
		const link = `${host} ${instanceName}`;
		const instance = this.#group.getInstance(instanceName);
		return new Promise(resolve => {
			const timeout = this.#timerService.schedule(options.timeoutMilliseconds, () => {
				resolve(err({kind: ControlErrorKind.TimedOut, message: 'no response', connectionAttempt: 0}));
			});
			const reply = (result: Result<Value, ControlError>) => {
				this.#enqueue(`${link} reply`, () => {
					timeout[Symbol.dispose]();
					resolve(result);
				});
			};

			this.#enqueue(`${link} request`, () => {
				if (this.partitions.has(link)) {
					return;
				}

				if (instance.alive) {
					reply(ok(operation(instance)));
				} else {
					this.#attempts++;
					reply(err({kind: ControlErrorKind.Refused, message: 'refused', connectionAttempt: this.#attempts}));
				}
			});
		});
	}

	/** Removes and returns the first message of one of the queues. */
	dequeue(choice: number): Message | undefined {
		const waiting = [...this.queues.values()].filter(queue => queue.length > 0);
		return waiting[choice % Math.max(1, waiting.length)]?.shift();
	}

	/** Delivers all messages that are queued at the time of the call. */
	deliverAll(): void {
		const messages = [...this.queues.values()].flatMap(queue => queue.splice(0));
		for (const deliver of messages) {
			deliver();
		}
	}

	#enqueue(queueName: string, message: Message): void {
		const queue = this.queues.get(queueName) ?? [];
		this.queues.set(queueName, queue);
		queue.push(message);
	}
}
