import {err, ok, type Result} from 'neverthrow';

/** Host that orders promotions. Kept in the shared store; the number increases with each change of the holder. */
export type PromoterRecord = {
	readonly host: string;
	/** Life of the host's process that took the duty. */
	readonly incarnation: string;
	readonly fencingToken: number;
};

/**
 * Reads a duty from the text of a store item.
 *
 * @param text - JSON text.
 * @returns The duty, or the reason why the text is none.
 */
export function parsePromoterRecord(text: string): Result<PromoterRecord, string> {
	try {
		const value = JSON.parse(text) as Partial<PromoterRecord>;
		return typeof value.host === 'string' && typeof value.incarnation === 'string' && typeof value.fencingToken === 'number'
			? ok(value as PromoterRecord)
			: err('a field is missing or has another type');
	} catch (error) {
		return err(String(error));
	}
}
