import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';

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
	/** Address at which other hosts follow this one, in the form `host:port`. */
	readonly delegateAddress: string;
	/** Processor time that the host may use, in cores. */
	readonly capacity: number;
	/**
	 * Whether the host has no authority but that which delegates grant to it. A promoter waits for the delegates instead, which
	 * confirm a change only when none of their followers uses the primary.
	 */
	readonly isDelegated: boolean;
	/** Identifier of the last announced primary change that the host has learned of, by group. The confirmation follows it. */
	readonly noticed: Readonly<Record<string, string>>;
	/** What the followers of this host have reported to it. */
	readonly followers: FollowerReports;
};

/** Reports of the followers of a delegate, as names of hosts by group. */
export type FollowerReports = {
	/** Hosts that have confirmed the change that the delegate has confirmed. */
	readonly confirmed: Readonly<Record<string, readonly string[]>>;
	/** Hosts that suspect the primary to have failed. */
	readonly suspected: Readonly<Record<string, readonly string[]>>;
};

const recordOfNamesSchema = z.record(z.string(), z.array(z.string()));

const hostRecordSchema = z.object({
	incarnation: z.string(),
	availabilityZone: z.string(),
	peerAddress: z.string(),
	lease: z.number(),
	confirmed: z.record(z.string(), z.string()),
	suspected: z.array(z.string()),
	// Records of the version before delegates lack these fields.
	delegateAddress: z._default(z.string(), ''),
	capacity: z._default(z.number(), 0),
	isDelegated: z._default(z.boolean(), false),
	noticed: z._default(z.record(z.string(), z.string()), {}),
	followers: z._default(z.object({confirmed: recordOfNamesSchema, suspected: recordOfNamesSchema}), {confirmed: {}, suspected: {}}),
});

/**
 * Parses the value of a store item.
 *
 * @param text - JSON text.
 * @returns The record, or the reason why the text is invalid.
 */
export function parseHostRecord(text: string): Result<HostRecord, string> {
	try {
		const parsed = hostRecordSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
	} catch (error) {
		return err(String(error));
	}
}
