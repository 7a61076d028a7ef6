/**
 * Sends a JSON request to an HTTP endpoint.
 *
 * @param method - HTTP method.
 * @param url - URL of the endpoint.
 * @param body - Value that is serialized as the request body.
 * @returns The parsed response body, or an empty object if the body is empty.
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
