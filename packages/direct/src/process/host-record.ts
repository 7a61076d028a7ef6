import {err, ok, type Result} from 'neverthrow';

/** What a host states of itself in the shared store. */
export type HostRecord = {
	/** Distinguishes the lives of the host's process. */
	readonly incarnation: string;
	readonly availabilityZone: string;
	/** Address of the host's peer listener, in the form `host:port`. */
	readonly peerAddress: string;
	/** Lease whose renewals permit the host to use primaries; 0 if it has none. */
	readonly lease: number;
	/** Change identifiers of the announced changes of a primary after which this host uses the old one no more. */
	readonly confirmed: Readonly<Record<string, string>>;
	/** Groups whose primary this host can't reach. */
	readonly suspected: readonly string[];
};

/**
 * Reads a record from the text of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is none.
 */
export function parseHostRecord(text: string): Result<HostRecord, string> {
	try {
		const value = JSON.parse(text) as Partial<HostRecord>;
		return typeof value.incarnation === 'string'
			&& typeof value.availabilityZone === 'string'
			&& typeof value.peerAddress === 'string'
			&& typeof value.lease === 'number'
			&& typeof value.confirmed === 'object'
			&& Array.isArray(value.suspected)
			? ok(value as HostRecord)
			: err('a field is missing or has another type');
	} catch (error) {
		return err(String(error));
	}
}
