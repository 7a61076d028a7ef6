import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import {Verdict} from '../request/verdict.js';
import {type CompareAndSwapOutcome, type KeyValueEntry, type KeyValueError, type KeyValueService} from './key-value-service.js';

/** Maximum size of one reply or watch event, in bytes; sufficient for a value of 1 MB in base64 and the other fields. */
const maximumReplyBytes = 2_097_152;

/** Time limit for opening a connection, in milliseconds. */
const connectTimeoutMilliseconds = 1000;

/** Error codes that prove that a request did not reach the service. */
const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/** 64-bit integer. The JSON mapping of protocol buffers writes it as a string and omits it if it is 0. */
const int64 = z.union([z.string().regex(/^\d{1,16}$/v), z.number().int().nonnegative()]).transform(Number).default(0);

const keyValueSchema = z.object({
	key: z.base64(),
	value: z.base64().default(''),
	mod_revision: int64,
});

const rangeSchema = z.object({kvs: z.array(keyValueSchema).max(1).default([])});

const transactionSchema = z.object({
	header: z.object({revision: int64}),
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({response_range: rangeSchema.optional()})).default([]),
});

const watchSchema = z.object({
	result: z.object({
		header: z.object({revision: int64}).optional(),
		canceled: z.boolean().default(false),
		cancel_reason: z.string().default(''),
		events: z.array(z.object({
			type: z.enum(['PUT', 'DELETE']).default('PUT'),
			kv: keyValueSchema,
		})).default([]),
	}),
});

/** Options of `EtcdKeyValueService`. */
export type EtcdKeyValueServiceOptions = {
	/** Base URL of the service, for instance `http://127.0.0.1:2379`. */
	readonly url: string;
	/** Source address of the connections. */
	readonly localAddress?: string;
};

/** Key-value service that is accessed through the JSON gateway of the etcd v3 API. */
export class EtcdKeyValueService implements KeyValueService {
	readonly #pool: Pool;

	/**
	 * @param options - Address of the service and of this host.
	 */
	constructor(options: EtcdKeyValueServiceOptions) {
		this.#pool = new Pool(options.url, {
			connections: 4,
			connect: {timeout: connectTimeoutMilliseconds},
			...(options.localAddress && {localAddress: options.localAddress}),
		});
	}

	/** @inheritdoc */
	async get(key: string, timeoutMilliseconds: number): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
		const reply = await this.#post('/v3/kv/range', {key: toBase64(key)}, rangeSchema, timeoutMilliseconds);
		return reply
			.map(range => toEntry(range.kvs[0]))
			.mapErr(error => ({...error, verdict: Verdict.NotRun}));
	}

	/** @inheritdoc */
	async compareAndSwap(key: string, expectedRevision: number, value: string, timeoutMilliseconds: number): Promise<Result<CompareAndSwapOutcome, KeyValueError>> {
		const encodedKey = toBase64(key);
		const reply = await this.#post('/v3/kv/txn', {
			compare: [{
				key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision),
			}],
			success: [{request_put: {key: encodedKey, value: toBase64(value)}}],
			failure: [{request_range: {key: encodedKey}}],
		}, transactionSchema, timeoutMilliseconds);
		return reply.map(transaction => {
			const current = transaction.succeeded
				? {value, revision: transaction.header.revision}
				: toEntry(transaction.responses[0]?.response_range?.kvs[0]);
			return {swapped: transaction.succeeded, ...(current && {current})};
		});
	}

	/** @inheritdoc */
	async * watch(key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<KeyValueEntry> {
		if (signal.aborted) {
			return;
		}

		try {
			const response = await this.#pool.request({
				path: '/v3/watch',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({create_request: {key: toBase64(key), start_revision: String(afterRevision + 1)}}),
				signal,
				headersTimeout: 10_000,
				// A watch receives no data between changes. The caller limits its duration with the signal.
				bodyTimeout: 0,
			});
			if (response.statusCode !== 200) {
				await response.body.dump();
				throw new Error(`the key-value service rejected a watch with HTTP status ${response.statusCode}`);
			}

			for await (const line of readLines(response.body)) {
				yield * parseWatchLine(line, afterRevision);
			}
		} catch (error) {
			if (!signal.aborted) {
				throw error;
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#pool.destroy();
	}

	async #post<Schema extends z.ZodType>(path: string, body: unknown, schema: Schema, timeoutMilliseconds: number): Promise<Result<z.output<Schema>, KeyValueError>> {
		try {
			const response = await this.#pool.request({
				path,
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(timeoutMilliseconds),
			});
			const text = await readLimited(response.body);
			if (response.statusCode !== 200) {
				// A request that the service rejects with a 4xx status was not executed. After other errors, the outcome is unknown.
				const verdict = response.statusCode >= 400 && response.statusCode < 500 ? Verdict.NotRun : Verdict.MayHaveRun;
				return err({verdict, message: `the key-value service answered with HTTP status ${response.statusCode}: ${text.slice(0, 200)}`});
			}

			const parsed = schema.safeParse(JSON.parse(text));
			return parsed.success
				? ok(parsed.data)
				: err({verdict: Verdict.MayHaveRun, message: `the reply of the key-value service is invalid: ${z.prettifyError(parsed.error)}`});
		} catch (error) {
			return err({
				verdict: notSentCodes.has(getErrorCode(error)) ? Verdict.NotRun : Verdict.MayHaveRun,
				message: `request to the key-value service failed: ${error instanceof Error ? error.message : String(error)}`,
			});
		}
	}
}

function * parseWatchLine(line: string, afterRevision: number): Iterable<KeyValueEntry> {
	const {result} = watchSchema.parse(JSON.parse(line));
	if (result.canceled) {
		throw new Error(`the key-value service ended the watch: ${result.cancel_reason}`);
	}

	if (result.header && result.header.revision > 0 && result.header.revision < afterRevision) {
		throw new Error(`the key-value service is at revision ${result.header.revision} and has lost revision ${afterRevision}`);
	}

	for (const event of result.events) {
		const entry = toEntry(event.kv);
		if (event.type === 'PUT' && entry && entry.revision > afterRevision) {
			yield entry;
		}
	}
}

async function * readLines(body: AsyncIterable<Buffer>): AsyncIterable<string> {
	let pending = Buffer.alloc(0);
	for await (const chunk of body) {
		pending = Buffer.concat([pending, chunk]);
		for (let end = pending.indexOf('\n'); end !== -1; end = pending.indexOf('\n')) {
			const line = pending.subarray(0, end).toString('utf8').trim();
			pending = pending.subarray(end + 1);
			if (line !== '') {
				yield line;
			}
		}

		if (pending.length > maximumReplyBytes) {
			throw new Error('a watch event of the key-value service exceeds the maximum size');
		}
	}
}

async function readLimited(body: AsyncIterable<Buffer>): Promise<string> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > maximumReplyBytes) {
			throw new Error('the reply exceeds the maximum size');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function toBase64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

function toEntry(keyValue: z.output<typeof keyValueSchema> | undefined): KeyValueEntry | undefined {
	return keyValue && {value: Buffer.from(keyValue.value, 'base64').toString('utf8'), revision: keyValue.mod_revision};
}

function getErrorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : '';
}
