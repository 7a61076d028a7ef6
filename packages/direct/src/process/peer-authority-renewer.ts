import {loadCrypto} from '@tarragonstack/core/codec/load-crypto';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type PeerMessages} from '../connection/peer-messages.js';
import {isMajority} from '../request/majority.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {parseGroupRecord, type GroupRecord} from './group-record.js';
import {authorityMilliseconds, type PrimaryAuthority} from './primary-authority.js';
import {type StoreEra} from './store-era.js';

/**
 * Time after the last lease renewal or grant for which reports of other hosts may replace further ones, in milliseconds. It
 * exceeds usual outages of the store. A promoter whose change a majority has not confirmed waits for the same time.
 */
export const peerRenewalLimitMilliseconds = 12_000;

/** Interval between queries to the other hosts, in milliseconds. */
const peerQueryIntervalMilliseconds = 150;

/** Time without a renewal after which the other hosts are queried, in milliseconds. */
const peerQueryDelayMilliseconds = 350;

/** The same time for a host whose authority a delegate granted, in milliseconds. */
const delegatedPeerQueryDelayMilliseconds = 600;

/** Group record in a report to another host. */
type ReportedRecord = {
	readonly group: string;
	readonly revision: number;
	/** JSON text of the record, in the format of the store. */
	readonly text: string;
};

/** Message with the era of the store that its sender goes by. */
type EraMessage = {readonly era: number};
type Question = EraMessage & {readonly kind: 'question'; readonly number: number};
type Report = EraMessage & {readonly kind: 'report'; readonly number: number; readonly host: string; readonly records: readonly ReportedRecord[]};

/** Dependencies of a `PeerAuthorityRenewer`. */
export type PeerAuthorityRenewerOptions = {
	readonly hostName: string;
	readonly messages: PeerMessages;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly fleet: FleetView;
	readonly authority: PrimaryAuthority;
	/** Era of the store that this host goes by. */
	readonly era: StoreEra;
	/** Returns the newest records of all groups that this host knows and complies with. */
	getRecords(): Iterable<{readonly group: string; readonly revision: number; readonly record: GroupRecord}>;
	/**
	 * Applies a valid record that another host reported.
	 *
	 * @param group - Name of the group.
	 * @param text - JSON text of the record, in the format of the store.
	 * @param revision - Revision of the record.
	 */
	handleRecord(group: string, text: string, revision: number): void;
};

/**
 * Renews the authority to use primaries while the store does not respond to this host.
 *
 * A promoter waits until a majority of the hosts has confirmed its change, and then for the validity of one renewal of the
 * authority. If the reports of a majority contain no newer change, no promotion is ordered within that time. Reports count
 * only if both hosts go by the same era of the store: a host of a later era may have confirmed changes of which this one
 * cannot know.
 */
export class PeerAuthorityRenewer {
	readonly #options: PeerAuthorityRenewerOptions;
	/** Number of the last query, or `undefined` if there was none. The first one is random, so that no report to an earlier process matches. */
	#queryNumber: number | undefined;
	#queriedAt = 0;
	#reporters = new Set<string>();
	#hasMajority = true;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: PeerAuthorityRenewerOptions) {
		this.#options = options;
		options.messages.setHandler('question', (message, from) => {
			this.#handleQuestion(message, from);
		});
		options.messages.setHandler('report', message => {
			if (isReport(message) && message.number === this.#queryNumber) {
				this.#handleReport(message);
			}
		});
	}

	/** Ignores the reports to the queries that were sent in an earlier era of the store. */
	handleEraEntered(): void {
		this.#queryNumber &&= this.#queryNumber + 1;
		this.#reporters = new Set();
	}

	/** Queries the other hosts if the authority has not been renewed for some time. Called at a fixed interval. */
	renewIfStale(now: number): void {
		const {authority, fleet, hostName, messages, era} = this.#options;
		// A delegate's grants expire earlier than a renewal of this host's own, and usually follow each other more slowly.
		const hasOwn = authority.ownValidUntil >= authority.validUntil;
		const delayMilliseconds = hasOwn ? peerQueryDelayMilliseconds : delegatedPeerQueryDelayMilliseconds;
		const isRenewed = now < authority.renewalRequestedAt + delayMilliseconds;
		if (isRenewed || now > authority.provenAt + peerRenewalLimitMilliseconds || now < this.#queriedAt + peerQueryIntervalMilliseconds) {
			return;
		}

		this.#queryNumber = (this.#queryNumber ?? loadCrypto().randomInt(2 ** 30)) + 1;
		this.#queriedAt = now;
		this.#reporters = new Set([hostName]);
		const question: Question = {kind: 'question', number: this.#queryNumber, era: era.number};
		for (const [name, {record}] of fleet.hosts) {
			if (name !== hostName) {
				messages.send(record.peerAddress, question);
			}
		}

		this.#renewIfMajority();
	}

	#handleQuestion({number}: Partial<Question>, from: string): void {
		if (typeof number === 'number') {
			this.#sendReport(number, from);
		}
	}

	#sendReport(number: number, receiver: string): void {
		const {getRecords, messages, hostName, era} = this.#options;
		const records: ReportedRecord[] = [...getRecords()].map(({group, revision, record}) => ({group, revision, text: JSON.stringify(record)}));
		const report: Report = {kind: 'report', number, era: era.number, host: hostName, records};
		messages.send(receiver, report);
	}

	#handleReport({host, records, era: reportEra}: Report): void {
		const {handleRecord, log, fleet, era} = this.#options;
		if (!fleet.hosts.has(host) || reportEra !== era.number) {
			return;
		}

		for (const {group, revision, text} of records) {
			const record = parseGroupRecord(text);
			if (record.isErr()) {
				log.write('record-invalid', {key: group, revision, reason: record.error});
				return;
			}

			handleRecord(group, text, revision);
		}

		this.#reporters.add(host);
		this.#renewIfMajority();
	}

	#renewIfMajority(): void {
		const {authority, fleet, log, timer} = this.#options;
		const hasMajority = isMajority(this.#reporters.size, fleet.hosts.size);
		if (hasMajority) {
			authority.renew(this.#queriedAt);
		}

		if (hasMajority !== this.#hasMajority && (hasMajority || timer.now() > authority.validUntil)) {
			this.#hasMajority = hasMajority;
			log.write(hasMajority ? 'authority-witnessed' : 'authority-lost', {reporters: this.#reporters.size, hosts: fleet.hosts.size});
		}
	}
}

function isReport(message: Partial<Report>): message is Report {
	const {host, records} = message;
	return typeof host === 'string' && Array.isArray(records)
		&& (records as ReadonlyArray<Partial<ReportedRecord>>).every(({group, revision, text}) => typeof group === 'string' && typeof revision === 'number' && typeof text === 'string');
}
