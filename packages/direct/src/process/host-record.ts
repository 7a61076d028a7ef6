import {err, ok, type Result} from 'neverthrow';

/** Record of a host in the shared store, written by the host itself. */
export type HostRecord = {
	/** Unique identifier of the host's process; it changes with each start. */
	readonly incarnation: string;
	readonly availabilityZone: string;
	/** Address of the host's peer listener, in the form `host:port`. */
	readonly peerAddress: string;
	/** Lease whose renewal authorizes the host to use primaries; 0 if it has none. */
	readonly lease: number;
	/** Identifier of the last confirmed primary change by group. The host no longer uses the replaced primary. */
	readonly confirmed: Readonly<Record<string, string>>;
	/** Groups whose primary this host suspects to have failed. */
	readonly suspected: readonly string[];
};

/**
 * Parses the value of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is invalid.
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
