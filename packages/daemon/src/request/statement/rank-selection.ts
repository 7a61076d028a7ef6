import {type Contract, type Rank, type RankRule} from '@tarragonstack/core';

/** What the rules of a contract look at. */
export type RankRuleInput = {
	readonly user: string;
	readonly applicationName: string;
	/** Text of the statements of the unit. */
	readonly text: string;
};

/** Characters of a statement to which patterns are applied; bounds the time of a pattern on a long statement. */
const maximumPatternText = 16_384;
/** Patterns that are kept compiled; the oldest is dropped first. */
const maximumCompiledPatterns = 1000;
const compiledPatterns = new Map<string, RegExp | undefined>();

/**
 * Returns the rank of the first rule that matches, otherwise the contract's default.
 *
 * @param contract - Contract of the customer.
 * @param input - Properties of the connection and the unit.
 */
export function selectRank(contract: Contract, input: RankRuleInput): Rank {
	return contract.rules.find(rule => isMatch(rule, input))?.rank ?? contract.defaultRank;
}

function isMatch(rule: RankRule, input: RankRuleInput): boolean {
	return (rule.user === undefined || rule.user === input.user)
		&& (rule.applicationName === undefined || rule.applicationName === input.applicationName)
		&& (rule.statementPattern === undefined || Boolean(compile(rule.statementPattern)?.test(input.text.slice(0, maximumPatternText))));
}

/** Compiles a pattern without regard to case, as SQL key words have none. An invalid pattern matches nothing. */
function compile(pattern: string): RegExp | undefined {
	if (!compiledPatterns.has(pattern)) {
		if (compiledPatterns.size >= maximumCompiledPatterns) {
			compiledPatterns.delete(compiledPatterns.keys().next().value ?? '');
		}

		compiledPatterns.set(pattern, tryCompile(pattern));
	}

	return compiledPatterns.get(pattern);
}

function tryCompile(pattern: string): RegExp | undefined {
	try {
		return new RegExp(pattern, 'iv');
	} catch {
		return undefined;
	}
}
