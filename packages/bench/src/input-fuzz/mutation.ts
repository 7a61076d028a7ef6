import {type SeededRandom} from '../load/seeded-random.js';

/** Numbers at the edges of the types that parsers use. */
const boundaryNumbers = [0, -1, 1, 0.5, 255, 65_536, 2_147_483_647, -2_147_483_648, 4_294_967_295, Number.MAX_SAFE_INTEGER, 1e308];

/** Numbers that replace a length field. */
const boundaryLengths = [0, -1, 1, 255, 65_536, 1_048_577, 2_147_483_647, -2_147_483_648];

/** Values that replace a value of another type. */
const boundaryValues: readonly unknown[] = [null, true, '', 'x', '\0', '\u{1F980}'.repeat(20), 'y'.repeat(70_000), [], {}, [null], {'': 0}, ...boundaryNumbers];

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

/** Replaces four bytes, which may be a length, by a number at the edge of a type. */
function replaceLengthField(random: SeededRandom, bytes: Buffer): Buffer {
	const changed = Buffer.from(bytes);
	if (changed.length >= 4) {
		changed.writeInt32BE(boundaryLengths[random.integer(boundaryLengths.length)]!, random.integer(changed.length - 3));
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

/** Creates an object with own properties only, also for the name of the prototype. */
function createObject(entries: ReadonlyArray<readonly [string, unknown]>): Record<string, unknown> {
	const result: Record<string, unknown> = {};
	for (const [name, value] of entries) {
		Object.defineProperty(result, name, {value, enumerable: true, configurable: true, writable: true});
	}

	return result;
}
