import {type Contract, type Rank, type RankRule} from '@tarragonstack/core';

/** What the rules of a contract look at. */
export type RankSubject = {
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
 * @param subject - Properties of the connection and the unit.
 */
export function selectRank(contract: Contract, subject: RankSubject): Rank {
	return contract.rules.find(rule => isMatch(rule, subject))?.rank ?? contract.defaultRank;
}

function isMatch(rule: RankRule, subject: RankSubject): boolean {
	return (rule.user === undefined || rule.user === subject.user)
		&& (rule.applicationName === undefined || rule.applicationName === subject.applicationName)
		&& (rule.statementPattern === undefined || Boolean(compile(rule.statementPattern)?.test(subject.text.slice(0, maximumPatternText))));
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
