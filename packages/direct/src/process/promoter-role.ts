import {callTimeoutMilliseconds, type PromotionContext} from './promotion-context.js';
import {type PromoterRecord} from './promoter-record.js';

/**
 * Additional takeover delay of a host, in milliseconds, per host that precedes it in the order of names without the
 * promoter. It prevents the hosts from taking over at the same time.
 */
export const takeoverStaggerMilliseconds = 120;

/** Difference between the fencing tokens of two eras of the store. It exceeds the number of promoters in one era. */
const fencingTokensPerEra = 1_000_000;

/** Role of the host that replaces primaries. The shared store names its holder. */
export class PromoterRole {
	readonly #context: PromotionContext;

	/**
	 * @param context - Dependencies.
	 */
	constructor(context: PromotionContext) {
		this.#context = context;
	}

	/** Whether this process holds the role. */
	get isHeld(): boolean {
		const {fleet: {promoterRecord}, hostName, registration} = this.#context;
		return promoterRecord?.host === hostName && promoterRecord.incarnation === registration.record.incarnation;
	}

	/** Claims the role. Returns the record, or `undefined` if another host became the promoter or the store did not respond. */
	async claim(): Promise<PromoterRecord | undefined> {
		const {fleet, hostName, registration, store, log, era} = this.#context;
		const previous = fleet.promoterRecord;
		const promoterRecord: PromoterRecord = {host: hostName, incarnation: registration.record.incarnation, fencingToken: (previous?.fencingToken ?? era.number * fencingTokensPerEra) + 1};
		const key = era.keys.promoter;
		const value = JSON.stringify(promoterRecord);
		const outcome = await store.commit({
			expected: [{key, revision: fleet.promoter?.revision ?? 0}], writes: [{key, value}], removals: [],
		}, callTimeoutMilliseconds);
		if (outcome.isErr() || !outcome.value.committed) {
			log.write('duty-not-taken', {previous: previous?.host, reason: outcome.isErr() ? outcome.error.message : 'another host became the promoter'});
			return undefined;
		}

		fleet.updatePromoter({key, value, revision: outcome.value.revision});
		log.write('duty-taken', {previous: previous?.host, fencingToken: promoterRecord.fencingToken});
		return promoterRecord;
	}
}
