/** One end of the connections to which a rule applies. Every given field must match. */
export type Selector = {
	readonly name?: string;
	readonly zone?: string;
};

/** End of a connection. */
export type Endpoint = {
	readonly name: string;
	readonly zone: string;
};

/** Rule for the bytes that flow from one end to another, no matter which of them opened the connection. */
export type Rule = {
	readonly identifier: string;
	readonly source: Selector;
	readonly destination: Selector;
	/** Delay in this direction; the order of the bytes is kept. */
	readonly delayMilliseconds: number;
	/** Bytes in this direction stall. */
	readonly isPartition: boolean;
	/** Connections whose responses flow in this direction are reset after so many bytes since the rule was set. */
	readonly resetAfterResponseBytes?: number;
};

/** What all rules together demand for one direction of a connection. */
export type EffectiveRule = {
	readonly delayMilliseconds: number;
	readonly isPartition: boolean;
	readonly resetAfterResponseBytes?: number;
};

/**
 * Tells whether a selector matches an end of a connection.
 *
 * @param selector - Selector.
 * @param endpoint - End of a connection.
 */
export function matchesEndpoint(selector: Selector, endpoint: Endpoint): boolean {
	return (selector.name === undefined || selector.name === endpoint.name)
		&& (selector.zone === undefined || selector.zone === endpoint.zone);
}

/**
 * Combines the rules for one direction: the greatest delay, any partition, the smallest reset threshold.
 *
 * @param rules - All rules.
 * @param source - End that sends.
 * @param destination - End that receives.
 */
export function combineRules(rules: Iterable<Rule>, source: Endpoint, destination: Endpoint): EffectiveRule {
	let delayMilliseconds = 0;
	let isPartition = false;
	let resetAfterResponseBytes: number | undefined;
	for (const rule of rules) {
		if (matchesEndpoint(rule.source, source) && matchesEndpoint(rule.destination, destination)) {
			delayMilliseconds = Math.max(delayMilliseconds, rule.delayMilliseconds);
			isPartition ||= rule.isPartition;
			resetAfterResponseBytes = rule.resetAfterResponseBytes === undefined
				? resetAfterResponseBytes
				: Math.min(rule.resetAfterResponseBytes, resetAfterResponseBytes ?? Infinity);
		}
	}

	return {delayMilliseconds, isPartition, ...(resetAfterResponseBytes !== undefined && {resetAfterResponseBytes})};
}
