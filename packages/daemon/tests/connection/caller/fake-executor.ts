import {
	RefusalReason, type ResponseSink, TransactionStatus, type UpstreamResult, Verdict,
} from '@tarragonstack/core';
import {type CallerRequest, type CallerSession, type RequestExecutor} from '../../../src/index.js';
import {
	encodeCommandComplete, encodeErrorResponse, encodeEmptyParameterDescription, encodeTextRowDescription, encodeTextDataRow, Severity,
} from '../../../src/connection/caller/backend-messages.js';
import {MessageFields} from '../../../src/connection/caller/message-fields.js';

/** Front-end message as an upstream would see it. */
type SentMessage = {
	readonly type: string;
	readonly bytes: Buffer;
};

type Override = (text: string, request: CallerRequest, sink: ResponseSink, signal: AbortSignal) => Promise<UpstreamResult | undefined> | undefined;

const ran = (transactionStatus: TransactionStatus): UpstreamResult => ({verdict: Verdict.Ran, transactionStatus});

/**
 * Result of a request that was refused.
 *
 * @param reason - Reason.
 * @param transactionStatus - Status after the refusal.
 */
export function refused(reason: RefusalReason, transactionStatus = TransactionStatus.Idle): UpstreamResult {
	return {
		verdict: reason === RefusalReason.OutcomeUnknown ? Verdict.MayHaveRun : Verdict.NotRun,
		transactionStatus,
		refusal: {reason, message: `refused: ${reason}`, retryAfterMilliseconds: 12.3},
	};
}

/** Splits front-end messages. */
export function splitMessages(bytes: Uint8Array): SentMessage[] {
	const buffer = Buffer.from(bytes);
	const messages: SentMessage[] = [];
	for (let offset = 0; offset < buffer.length;) {
		const end = offset + 1 + buffer.readUInt32BE(offset + 1);
		messages.push({type: String.fromCodePoint(buffer[offset] ?? 0), bytes: buffer.subarray(offset, end)});
		offset = end;
	}

	return messages;
}

/** Executor that plays an upstream: each statement returns one row with its own text. A text with `fail` is an error. */
export class FakeExecutor implements RequestExecutor {
	readonly requests: CallerRequest[] = [];
	readonly sessions: CallerSession[] = [];
	readonly cancelled: string[] = [];
	readonly signals: AbortSignal[] = [];
	abandoned = 0;
	/** Takes over requests for which it returns a promise of a result. */
	override?: Override;
	/** Plays the updates of the router on the session. */
	onSession?: (session: CallerSession) => void;
	#status = TransactionStatus.Idle;

	async execute(request: CallerRequest, session: CallerSession, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		this.requests.push(request);
		this.sessions.push({...session});
		this.onSession?.(session);
		this.signals.push(signal);
		const messages = splitMessages(request.messages);
		const result = await this.override?.(this.getText(request), request, sink, signal);
		if (result) {
			this.#status = result.transactionStatus;
			return result;
		}

		for (const bytes of this.#respond(messages, new Set(request.hiddenParseCompletes))) {
			await sink.write(bytes);
		}

		return ran(this.#status);
	}

	cancel(requestIdentifier: string): void {
		this.cancelled.push(requestIdentifier);
	}

	abandonTransaction(): void {
		this.abandoned++;
	}

	/** Returns the texts of all Query and Parse messages of a request. */
	getText(request: CallerRequest): string {
		return splitMessages(request.messages).flatMap(({type, bytes}) => {
			const fields = new MessageFields(bytes);
			const name = type === 'P' ? fields.readString() : '';
			if (name !== '') {
				throw new Error(`the upstream must not see the prepared statement "${name}"`);
			}

			return type === 'P' || type === 'Q' ? [fields.readString() ?? ''] : [];
		}).join('\n');
	}

	* #respond(messages: readonly SentMessage[], hidden: ReadonlySet<number>): Generator<Buffer> {
		let parseCount = 0;
		let current = '';
		const portals = new Map<string, string>();
		for (const {type, bytes} of messages) {
			const fields = new MessageFields(bytes);
			switch (type) {
				case 'Q': {
					yield * this.#run(readText(fields), true);
					break;
				}

				case 'P': {
					fields.readString();
					current = readText(fields);
					if (current.includes('syntax fail')) {
						yield this.#fail('42601', 'syntax error');
						return;
					}

					if (!hidden.has(parseCount++)) {
						yield emptyMessage('1');
					}

					break;
				}

				case 'B': {
					portals.set(readText(fields), current);
					yield emptyMessage('2');
					break;
				}

				case 'D': {
					yield fields.readCharacter() === 'S' ? Buffer.concat([encodeEmptyParameterDescription(), encodeTextRowDescription('text')]) : encodeTextRowDescription('text');
					break;
				}

				case 'E': {
					const text = portals.get(readText(fields)) ?? '';
					yield * this.#run(text, false);
					if (text.includes('fail')) {
						return;
					}

					break;
				}

				case 'C': {
					yield emptyMessage('3');
					break;
				}

				default: {
					break;
				}
			}
		}
	}

	* #run(text: string, withDescription: boolean): Generator<Buffer> {
		const word = text.replaceAll(/\/\*.*?\*\//gsv, '').trim().split(/[\s;]/v)[0]?.toUpperCase() ?? '';
		if (text.includes('fail')) {
			yield this.#fail('23505', 'duplicate key');
			return;
		}

		if (['BEGIN', 'COMMIT', 'ROLLBACK'].includes(word)) {
			const isEnd = word !== 'BEGIN' && !text.includes(' TO ');
			this.#status = isEnd ? TransactionStatus.Idle : TransactionStatus.InTransaction;
			yield encodeCommandComplete(word);
			return;
		}

		if (withDescription) {
			yield encodeTextRowDescription('text');
		}

		yield Buffer.concat([encodeTextDataRow(text), encodeCommandComplete('SELECT 1')]);
	}

	#fail(code: string, message: string): Buffer {
		if (this.#status === TransactionStatus.InTransaction) {
			this.#status = TransactionStatus.Failed;
		}

		return encodeErrorResponse(Severity.Error, {code, message});
	}
}

function readText(fields: MessageFields): string {
	return fields.readString() ?? '';
}

function emptyMessage(type: string): Buffer {
	return Buffer.from([type.codePointAt(0) ?? 0, 0, 0, 0, 4]);
}
