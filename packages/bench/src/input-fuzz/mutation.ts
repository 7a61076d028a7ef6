import {type SeededRandom} from '../load/seeded-random.js';

/** Numbers at the edges of the types that parsers use. */
const edgeNumbers = [0, -1, 1, 0.5, 255, 65_536, 2_147_483_647, -2_147_483_648, 4_294_967_295, Number.MAX_SAFE_INTEGER, 1e308];

/** Numbers that replace a length field. */
const edgeLengths = [0, -1, 1, 255, 65_536, 1_048_577, 2_147_483_647, -2_147_483_648];

/** Values that replace a value of another type. */
const edgeValues: readonly unknown[] = [null, true, '', 'x', '\0', '\u{1F980}'.repeat(20), 'y'.repeat(70_000), [], {}, [null], {'': 0}, ...edgeNumbers];

/**
 * Returns random bytes.
 *
 * @param random - Source of random numbers.
 * @param maximumLength - Greatest length.
 */
export function createRandomBytes(random: SeededRandom, maximumLength: number): Buffer {
	return Buffer.from(Array.from({length: 1 + random.integer(maximumLength)}, () => random.integer(256)));
}

/**
 * Changes bytes in one to four places.
 *
 * @param random - Source of random numbers.
 * @param bytes - Bytes to change.
 */
export function mutateBytes(random: SeededRandom, bytes: Buffer): Buffer {
	let result: Buffer = Buffer.from(bytes);
	for (let count = 1 + random.integer(4); count > 0; count--) {
		result = mutateOnce(random, result);
	}

	return result;
}

function mutateOnce(random: SeededRandom, bytes: Buffer): Buffer {
	const at = random.integer(bytes.length + 1);
	const end = Math.min(bytes.length, at + 1 + random.integer(8));
	const changes: ReadonlyArray<() => Buffer> = [
		() => Buffer.concat([bytes.subarray(0, at), createRandomBytes(random, 8), bytes.subarray(end)]),
		() => Buffer.concat([bytes.subarray(0, at), createRandomBytes(random, 8), bytes.subarray(at)]),
		() => Buffer.concat([bytes.subarray(0, at), bytes.subarray(end)]),
		() => Buffer.concat([bytes.subarray(0, end), bytes.subarray(at)]),
		() => bytes.subarray(0, at),
		() => replaceNumber(random, bytes),
	];
	return changes[random.integer(changes.length)]!();
}

/** Replaces four bytes, which may be a length, by a number at the edge of a type. */
function replaceNumber(random: SeededRandom, bytes: Buffer): Buffer {
	const changed = Buffer.from(bytes);
	if (changed.length >= 4) {
		changed.writeInt32BE(edgeLengths[random.integer(edgeLengths.length)]!, random.integer(changed.length - 3));
	}

	return changed;
}

/**
 * Changes one value of a structure, of which a copy is returned.
 *
 * @param random - Source of random numbers.
 * @param value - Plain data.
 */
export function mutateStructure(random: SeededRandom, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || value instanceof Uint8Array || random.integer(8) === 0) {
		return edgeValues[random.integer(edgeValues.length)];
	}

	const entries = Object.entries(value);
	const chosen = random.integer(entries.length + 1);
	if (chosen === entries.length) {
		entries.push([['extra', '__proto__', 'constructor', 'toString', ''][random.integer(5)]!, edgeValues[random.integer(edgeValues.length)]]);
	} else if (random.integer(6) === 0) {
		entries.splice(chosen, 1);
	} else {
		entries[chosen] = [entries[chosen]![0], mutateStructure(random, entries[chosen]![1])];
	}

	return Array.isArray(value) ? entries.map(([, element]) => element as unknown) : createObject(entries);
}

/** Creates an object with own properties only, also for the name of the prototype. */
function createObject(entries: ReadonlyArray<readonly [string, unknown]>): Record<string, unknown> {
	const result: Record<string, unknown> = {};
	for (const [name, value] of entries) {
		Object.defineProperty(result, name, {value, enumerable: true, configurable: true, writable: true});
	}

	return result;
}
