import {type Contract, type Rank, type RankRule} from '@tarragonstack/core';

/** Properties that the rank rules of a contract match. */
export type RankRuleInput = {
	readonly user: string;
	readonly applicationName: string;
	/** SQL text of the statement unit. */
	readonly text: string;
};

/** Maximum length of the text that patterns are matched against. Limits the matching time for long statements. */
const maximumPatternText = 16_384;
/** Maximum number of cached compiled patterns. The oldest one is evicted first. */
const maximumCompiledPatterns = 1000;
const compiledPatterns = new Map<string, RegExp | undefined>();

/**
 * Returns the rank of the first matching rule, or the default rank of the contract.
 *
 * @param contract - Contract of the customer.
 * @param input - Properties of the connection and the statement unit.
 */
export function selectRank(contract: Contract, input: RankRuleInput): Rank {
	return contract.rules.find(rule => isMatch(rule, input))?.rank ?? contract.defaultRank;
}

function isMatch(rule: RankRule, input: RankRuleInput): boolean {
	return (rule.user === undefined || rule.user === input.user)
		&& (rule.applicationName === undefined || rule.applicationName === input.applicationName)
		&& (rule.statementPattern === undefined || Boolean(compile(rule.statementPattern)?.test(input.text.slice(0, maximumPatternText))));
}

/** Compiles a pattern that ignores case, as SQL key words do. Returns `undefined` for an invalid one, which never matches. */
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
