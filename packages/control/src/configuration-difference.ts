/** Fields that identify an element of an array, so that reordering an array is not a difference. */
const nameFields = ['customer', 'name'];

/**
 * Lists the differences between two values, one line for each path.
 *
 * @param before - Old value.
 * @param after - New value.
 * @param path - Path of the values in the configuration; empty at the root.
 * @returns Lines that begin with `+` (added), `-` (removed) or `~` (changed).
 */
export function listDifferences(before: unknown, after: unknown, path = ''): string[] {
	if (JSON.stringify(before) === JSON.stringify(after)) {
		return [];
	}

	if (before === undefined) {
		return [`+ ${path}: ${JSON.stringify(after)}`];
	}

	if (after === undefined) {
		return [`- ${path}: ${JSON.stringify(before)}`];
	}

	const beforeFields = getFields(before);
	const afterFields = getFields(after);
	if (!beforeFields || !afterFields) {
		return [`~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
	}

	const names = new Set([...beforeFields.keys(), ...afterFields.keys()]);
	return [...names].flatMap(name => listDifferences(beforeFields.get(name), afterFields.get(name), path === '' ? name : `${path}.${name}`));
}

function getFields(value: unknown): Map<string, unknown> | undefined {
	if (Array.isArray(value)) {
		return new Map(value.map((element: unknown, index) => [getElementName(element) ?? String(index), element]));
	}

	return typeof value === 'object' && value !== null ? new Map(Object.entries(value)) : undefined;
}

function getElementName(element: unknown): string | undefined {
	if (typeof element !== 'object' || element === null) {
		return undefined;
	}

	const field = nameFields.find(name => name in element);
	return field && String((element as Record<string, unknown>)[field]);
}
