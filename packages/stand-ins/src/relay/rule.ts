import {type Retransmission} from './retransmission.js';

/** Selects endpoints by name and zone. All fields that are set must match. */
export type Selector = {
	readonly name?: string;
	readonly zone?: string;
};

/** Endpoint of a connection. */
export type Endpoint = {
	readonly name: string;
	readonly zone: string;
};

/** Fault rule for the bytes sent from one endpoint to another, regardless of which of them opened the connection. */
export type Rule = {
	readonly identifier: string;
	readonly source: Selector;
	readonly destination: Selector;
	/** Delay of the bytes sent in this direction. The byte order is preserved. */
	readonly delayMilliseconds: number;
	/** Whether bytes sent in this direction are held back until the rule is removed. */
	readonly isPartition: boolean;
	/** Connections are reset after this number of response bytes in this direction, counted from the creation of the rule. */
	readonly resetAfterResponseBytes?: number;
	/** Additional delay of a share of the chunks. */
	readonly retransmission?: Retransmission;
};

/** Combination of all rules that apply to one direction of a connection. */
export type EffectiveRule = {
	readonly delayMilliseconds: number;
	readonly isPartition: boolean;
	readonly resetAfterResponseBytes?: number;
	readonly retransmission?: Retransmission;
};

/**
 * Returns whether a selector matches an endpoint.
 *
 * @param selector - Selector to test.
 * @param endpoint - Endpoint to match against.
 */
export function matchesEndpoint(selector: Selector, endpoint: Endpoint): boolean {
	return (selector.name === undefined || selector.name === endpoint.name)
		&& (selector.zone === undefined || selector.zone === endpoint.zone);
}

/**
 * Combines the rules for one direction: the longest delay, any partition, the lowest reset threshold, and the first
 * rule's retransmissions.
 *
 * @param rules - All rules.
 * @param source - Sending endpoint.
 * @param destination - Receiving endpoint.
 */
export function combineRules(rules: Iterable<Rule>, source: Endpoint, destination: Endpoint): EffectiveRule {
	let delayMilliseconds = 0;
	let isPartition = false;
	let resetAfterResponseBytes: number | undefined;
	let retransmission: Retransmission | undefined;
	for (const rule of rules) {
		if (matchesEndpoint(rule.source, source) && matchesEndpoint(rule.destination, destination)) {
			delayMilliseconds = Math.max(delayMilliseconds, rule.delayMilliseconds);
			isPartition ||= rule.isPartition;
			retransmission ??= rule.retransmission;
			resetAfterResponseBytes = rule.resetAfterResponseBytes === undefined
				? resetAfterResponseBytes
				: Math.min(rule.resetAfterResponseBytes, resetAfterResponseBytes ?? Infinity);
		}
	}

	return {delayMilliseconds, isPartition, ...(resetAfterResponseBytes !== undefined && {resetAfterResponseBytes}), ...(retransmission && {retransmission})};
}
