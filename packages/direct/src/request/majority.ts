/**
 * Returns whether a part is more than half of a whole.
 *
 * @param part - Size of the part.
 * @param whole - Size of the whole.
 */
export function isMajority(part: number, whole: number): boolean {
	return part * 2 > whole;
}
