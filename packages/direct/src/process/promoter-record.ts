import {err, ok, type Result} from 'neverthrow';

/** Record of the promoter, the host that orders promotions, in the shared store. */
export type PromoterRecord = {
	readonly host: string;
	/** Unique identifier of the host's process that became the promoter. */
	readonly incarnation: string;
	/** Number that increases with each change of the promoter. */
	readonly fencingToken: number;
};

/**
 * Parses the value of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is invalid.
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
