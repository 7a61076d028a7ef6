import {type SeededRandom} from '../load/seeded-random.js';

/** Boundary values of the numeric types that parsers use. */
const boundaryNumbers = [0, -1, 1, 0.5, 255, 65_536, 2_147_483_647, -2_147_483_648, 4_294_967_295, Number.MAX_SAFE_INTEGER, 1e308];

/** Boundary values that replace a length field. */
const boundaryLengths = [0, -1, 1, 255, 65_536, 1_048_577, 2_147_483_647, -2_147_483_648];

/** Boundary values of various types that replace a value in a structure. */
const boundaryValues: readonly unknown[] = [null, true, '', 'x', '\0', '\u{1F980}'.repeat(20), 'y'.repeat(70_000), [], {}, [null], {'': 0}, ...boundaryNumbers];

/**
 * Creates a buffer of random bytes.
 *
 * @param random - Random number generator.
 * @param maximumLength - Maximum length; the minimum is 1.
 */
export function createRandomBytes(random: SeededRandom, maximumLength: number): Buffer {
	return Buffer.from(Array.from({length: 1 + random.integer(maximumLength)}, () => random.integer(256)));
}

/**
 * Applies one to four random mutations to a copy of some bytes.
 *
 * @param random - Random number generator.
 * @param bytes - Bytes to mutate.
 */
export function mutateBytes(random: SeededRandom, bytes: Buffer): Buffer {
	let result: Buffer = Buffer.from(bytes);
	for (let count = 1 + random.integer(4); count > 0; count--) {
		result = applyMutation(random, result);
	}

	return result;
}

function applyMutation(random: SeededRandom, bytes: Buffer): Buffer {
	const start = random.integer(bytes.length + 1);
	const end = Math.min(bytes.length, start + 1 + random.integer(8));
	const mutations: ReadonlyArray<() => Buffer> = [
		() => Buffer.concat([bytes.subarray(0, start), createRandomBytes(random, 8), bytes.subarray(end)]),
		() => Buffer.concat([bytes.subarray(0, start), createRandomBytes(random, 8), bytes.subarray(start)]),
		() => Buffer.concat([bytes.subarray(0, start), bytes.subarray(end)]),
		() => Buffer.concat([bytes.subarray(0, end), bytes.subarray(start)]),
		() => bytes.subarray(0, start),
		() => replaceLengthField(random, bytes),
	];
	return mutations[random.integer(mutations.length)]!();
}

/** Replaces four consecutive bytes, which may be a length field, with a boundary value. */
function replaceLengthField(random: SeededRandom, bytes: Buffer): Buffer {
	const changed = Buffer.from(bytes);
	if (changed.length >= 4) {
		changed.writeInt32BE(boundaryLengths[random.integer(boundaryLengths.length)]!, random.integer(changed.length - 3));
	}

	return changed;
}

/**
 * Returns a copy of a structure in which one value has been replaced, added or removed.
 *
 * @param random - Random number generator.
 * @param value - Plain data, for instance parsed JSON.
 */
export function mutateStructure(random: SeededRandom, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || value instanceof Uint8Array || random.integer(8) === 0) {
		return boundaryValues[random.integer(boundaryValues.length)];
	}

	const entries = Object.entries(value);
	const chosenIndex = random.integer(entries.length + 1);
	if (chosenIndex === entries.length) {
		entries.push([['extra', '__proto__', 'constructor', 'toString', ''][random.integer(5)]!, boundaryValues[random.integer(boundaryValues.length)]]);
	} else if (random.integer(6) === 0) {
		entries.splice(chosenIndex, 1);
	} else {
		entries[chosenIndex] = [entries[chosenIndex]![0], mutateStructure(random, entries[chosenIndex]![1])];
	}

	return Array.isArray(value) ? entries.map(([, element]) => element as unknown) : createObject(entries);
}

/** Creates an object from entries and defines every entry, including `__proto__`, as an own property. */
function createObject(entries: ReadonlyArray<readonly [string, unknown]>): Record<string, unknown> {
	const result: Record<string, unknown> = {};
	for (const [name, value] of entries) {
		Object.defineProperty(result, name, {value, enumerable: true, configurable: true, writable: true});
	}

	return result;
}
