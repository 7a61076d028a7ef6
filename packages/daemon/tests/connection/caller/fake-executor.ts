import {
	RefusalReason, type ResponseSink, TransactionStatus, type UpstreamResult, Verdict,
} from '@tarragonstack/core';
import {type CallerRequest, type CallerSession, type RequestExecutor} from '../../../src/index.js';
import {
	encodeCommandComplete, encodeErrorResponse, encodeEmptyParameterDescription, encodeTextRowDescription, encodeTextDataRow, Severity,
} from '../../../src/connection/caller/backend-messages.js';
import {MessageFields} from '../../../src/connection/caller/message-fields.js';

/** Frontend message as received by an upstream. */
type FrontendMessage = {
	readonly type: string;
	readonly bytes: Buffer;
};

type ExecuteOverride = (text: string, request: CallerRequest, sink: ResponseSink, signal: AbortSignal) => Promise<UpstreamResult | undefined> | undefined;

const createRanResult = (transactionStatus: TransactionStatus): UpstreamResult => ({verdict: Verdict.Ran, transactionStatus});

/**
 * Creates the result of a refused request.
 *
 * @param reason - Reason of the refusal.
 * @param transactionStatus - Transaction status after the refusal.
 */
export function createRefusal(reason: RefusalReason, transactionStatus = TransactionStatus.Idle): UpstreamResult {
	return {
		verdict: reason === RefusalReason.OutcomeUnknown ? Verdict.MayHaveRun : Verdict.NotRun,
		transactionStatus,
		refusal: {reason, message: `refused: ${reason}`, retryAfterMilliseconds: 12.3},
	};
}

/** Splits a buffer into frontend messages. */
export function splitFrontendMessages(bytes: Uint8Array): FrontendMessage[] {
	const buffer = Buffer.from(bytes);
	const messages: FrontendMessage[] = [];
	for (let offset = 0; offset < buffer.length;) {
		const end = offset + 1 + buffer.readUInt32BE(offset + 1);
		messages.push({type: String.fromCodePoint(buffer[offset] ?? 0), bytes: buffer.subarray(offset, end)});
		offset = end;
	}

	return messages;
}

/** Executor that simulates an upstream. A statement returns one row with its own text, or an error if the text contains `fail`. */
export class FakeExecutor implements RequestExecutor {
	readonly requests: CallerRequest[] = [];
	readonly sessions: CallerSession[] = [];
	readonly cancelledRequests: string[] = [];
	readonly signals: AbortSignal[] = [];
	abandonedCount = 0;
	/** Called first for each request. If it resolves to a result, the request is not executed. */
	override?: ExecuteOverride;
	/** Simulates the changes that the router makes to the session. */
	updateSession?: (session: CallerSession) => void;
	#status = TransactionStatus.Idle;

	async execute(request: CallerRequest, session: CallerSession, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		this.requests.push(request);
		this.sessions.push({...session});
		this.updateSession?.(session);
		this.signals.push(signal);
		const messages = splitFrontendMessages(request.messages);
		const result = await this.override?.(this.getSqlText(request), request, sink, signal);
		if (result) {
			this.#status = result.transactionStatus;
			return result;
		}

		for (const bytes of this.#respond(messages, new Set(request.hiddenParseCompletes))) {
			await sink.write(bytes);
		}

		return createRanResult(this.#status);
	}

	cancel(requestIdentifier: string): void {
		this.cancelledRequests.push(requestIdentifier);
	}

	abandonTransaction(): void {
		this.abandonedCount++;
	}

	/** Returns the SQL texts of all Query and Parse messages of a request. */
	getSqlText(request: CallerRequest): string {
		return splitFrontendMessages(request.messages).flatMap(({type, bytes}) => {
			const fields = new MessageFields(bytes);
			const name = type === 'P' ? fields.readString() : '';
			if (name !== '') {
				throw new Error(`the prepared statement "${name}" must not be sent upstream by name`);
			}

			return type === 'P' || type === 'Q' ? [fields.readString() ?? ''] : [];
		}).join('\n');
	}

	* #respond(messages: readonly FrontendMessage[], hiddenParseCompletes: ReadonlySet<number>): Generator<Buffer> {
		let parseCount = 0;
		let currentText = '';
		const portals = new Map<string, string>();
		for (const {type, bytes} of messages) {
			const fields = new MessageFields(bytes);
			switch (type) {
				case 'Q': {
					yield * this.#respondToStatement(readString(fields), true);
					break;
				}

				case 'P': {
					fields.readString();
					currentText = readString(fields);
					if (currentText.includes('syntax fail')) {
						yield this.#failStatement('42601', 'syntax error');
						return;
					}

					if (!hiddenParseCompletes.has(parseCount++)) {
						yield encodeEmptyMessage('1');
					}

					break;
				}

				case 'B': {
					portals.set(readString(fields), currentText);
					yield encodeEmptyMessage('2');
					break;
				}

				case 'D': {
					yield fields.readCharacter() === 'S' ? Buffer.concat([encodeEmptyParameterDescription(), encodeTextRowDescription('text')]) : encodeTextRowDescription('text');
					break;
				}

				case 'E': {
					const text = portals.get(readString(fields)) ?? '';
					yield * this.#respondToStatement(text, false);
					if (text.includes('fail')) {
						return;
					}

					break;
				}

				case 'C': {
					yield encodeEmptyMessage('3');
					break;
				}

				default: {
					break;
				}
			}
		}
	}

	* #respondToStatement(text: string, withRowDescription: boolean): Generator<Buffer> {
		const command = text.replaceAll(/\/\*.*?\*\//gsv, '').trim().split(/[\s;]/v)[0]?.toUpperCase() ?? '';
		if (text.includes('fail')) {
			yield this.#failStatement('23505', 'duplicate key');
			return;
		}

		if (['BEGIN', 'COMMIT', 'ROLLBACK'].includes(command)) {
			const isEnd = command !== 'BEGIN' && !text.includes(' TO ');
			this.#status = isEnd ? TransactionStatus.Idle : TransactionStatus.InTransaction;
			yield encodeCommandComplete(command);
			return;
		}

		if (withRowDescription) {
			yield encodeTextRowDescription('text');
		}

		yield Buffer.concat([encodeTextDataRow(text), encodeCommandComplete('SELECT 1')]);
	}

	#failStatement(code: string, message: string): Buffer {
		if (this.#status === TransactionStatus.InTransaction) {
			this.#status = TransactionStatus.Failed;
		}

		return encodeErrorResponse(Severity.Error, {code, message});
	}
}

function readString(fields: MessageFields): string {
	return fields.readString() ?? '';
}

function encodeEmptyMessage(type: string): Buffer {
	return Buffer.from([type.codePointAt(0) ?? 0, 0, 0, 0, 4]);
}
