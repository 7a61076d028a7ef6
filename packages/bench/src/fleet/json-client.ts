/**
 * Calls an HTTP endpoint with JSON.
 *
 * @param method - Method.
 * @param url - Address.
 * @param body - Value for the body.
 * @returns The parsed reply.
 */
export async function callJson(method: string, url: string, body?: unknown): Promise<Readonly<Record<string, unknown>>> {
	const response = await fetch(url, {
		method,
		headers: {'content-type': 'application/json'},
		...(body !== undefined && {body: JSON.stringify(body)}),
		signal: AbortSignal.timeout(10_000),
	});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`${method} ${url}: ${response.status} ${text}`);
	}

	return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}
