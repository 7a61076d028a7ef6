import {InputClass} from './input-class.js';

/** Counts inputs by class and by the observed reaction. */
export class Coverage {
	readonly #counts = new Map<InputClass, Map<string, number>>(Object.values(InputClass).map(inputClass => [inputClass, new Map<string, number>()]));

	/**
	 * Counts one input.
	 *
	 * @param inputClass - Class of the input.
	 * @param reaction - Reaction of the tested process, for instance `closed` or `exit code 2`.
	 */
	add(inputClass: InputClass, reaction: string): void {
		const reactions = this.#counts.get(inputClass)!;
		reactions.set(reaction, (reactions.get(reaction) ?? 0) + 1);
	}

	/**
	 * Returns the number of inputs of a class.
	 *
	 * @param inputClass - Class of the inputs.
	 */
	getCount(inputClass: InputClass): number {
		return [...this.#counts.get(inputClass)!.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Returns the classes of which no input has been counted. */
	getEmptyClasses(): InputClass[] {
		return [...this.#counts.keys()].filter(inputClass => this.getCount(inputClass) === 0);
	}

	/** Formats the counts as one line per class. */
	format(): string[] {
		return [...this.#counts].map(([inputClass, reactions]) => {
			const parts = [...reactions].toSorted(([left], [right]) => left.localeCompare(right)).map(([reaction, count]) => `${reaction} ${count}`);
			return `${inputClass}: ${this.getCount(inputClass)} inputs (${parts.join(', ')})`;
		});
	}
}
