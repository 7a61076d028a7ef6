import {InputClass} from './input-class.js';

/** Counts inputs by class and by the reaction to them. */
export class Coverage {
	readonly #counts = new Map<InputClass, Map<string, number>>(Object.values(InputClass).map(inputClass => [inputClass, new Map<string, number>()]));

	/**
	 * Counts one input.
	 *
	 * @param inputClass - Class of the input.
	 * @param reaction - What the process did, for instance `closed` or `exit code 2`.
	 */
	add(inputClass: InputClass, reaction: string): void {
		const reactions = this.#counts.get(inputClass)!;
		reactions.set(reaction, (reactions.get(reaction) ?? 0) + 1);
	}

	/**
	 * Returns the number of inputs of a class.
	 *
	 * @param inputClass - Class.
	 */
	getCount(inputClass: InputClass): number {
		return [...this.#counts.get(inputClass)!.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Returns the classes without any input. */
	getEmptyClasses(): InputClass[] {
		return [...this.#counts.keys()].filter(inputClass => this.getCount(inputClass) === 0);
	}

	/** Returns one line for each class. */
	format(): string[] {
		return [...this.#counts].map(([inputClass, reactions]) => {
			const parts = [...reactions].toSorted(([left], [right]) => left.localeCompare(right)).map(([reaction, count]) => `${reaction} ${count}`);
			return `${inputClass}: ${this.getCount(inputClass)} inputs (${parts.join(', ')})`;
		});
	}
}
