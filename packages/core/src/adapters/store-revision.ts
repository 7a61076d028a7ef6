/** Number of revisions that one era can have. Eras up to 2^21 keep the sum exact. */
const revisionsPerEra = 2 ** 32;

/**
 * Returns a number that orders the revisions of all eras of a store.
 *
 * @param era - Era of the store.
 * @param storeRevision - Revision that the store assigned in this era; 0 if there is none.
 */
export function toRevision(era: number, storeRevision: number): number {
	return storeRevision === 0 ? 0 : (era * revisionsPerEra) + storeRevision;
}

/** Returns the era to which a revision belongs. */
export function getEra(revision: number): number {
	return Math.floor(revision / revisionsPerEra);
}

/** Returns the revision that the store itself assigned. */
export function getStoreRevision(revision: number): number {
	return revision % revisionsPerEra;
}

/** Formats a revision for logs, as the era and the store's revision. */
export function formatRevision(revision: number): string {
	return `${getEra(revision)}:${getStoreRevision(revision)}`;
}
