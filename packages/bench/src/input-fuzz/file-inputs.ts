import {type SeededRandom} from '../load/seeded-random.js';
import {InputClass} from './input-class.js';
import {mutateBytes, mutateStructure} from './mutation.js';

/** Content of a mutated file. */
export type FileInput = {
	readonly inputClass: InputClass;
	readonly text: Buffer;
};

/**
 * Creates a mutated settings file.
 *
 * @param random - Random number generator.
 * @param settings - Valid settings.
 */
export function createSettingsInput(random: SeededRandom, settings: unknown): FileInput {
	return createInput(random, settings, [InputClass.SettingsStructure, InputClass.SettingsText]);
}

/**
 * Creates a mutated contract file.
 *
 * @param random - Random number generator.
 * @param contract - Valid contract.
 */
export function createContractInput(random: SeededRandom, contract: unknown): FileInput {
	return createInput(random, contract, [InputClass.ContractStructure, InputClass.ContractText]);
}

function createInput(random: SeededRandom, valid: unknown, [structure, text]: readonly [InputClass, InputClass]): FileInput {
	if (random.integer(2) === 0) {
		return {inputClass: text, text: random.integer(10) === 0 ? Buffer.from('['.repeat(100_000)) : mutateBytes(random, Buffer.from(JSON.stringify(valid)))};
	}

	return {inputClass: structure, text: Buffer.from(JSON.stringify(mutateStructure(random, valid)) ?? '')};
}
