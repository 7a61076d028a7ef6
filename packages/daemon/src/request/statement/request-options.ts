import {
	type LogPosition, parseLogPosition, type Rank, ranks,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';

/** Request options that a caller sets for its session or for one statement. */
export type RequestOptions = {
	rank?: Rank;
	maximumStalenessMilliseconds?: number;
	repeatable?: boolean;
	/** Applies to the next unit only, because two different writes must never share a key. */
	idempotencyKey?: string;
	session?: string;
	position?: LogPosition;
	group?: string;
};

type OptionRule = {
	readonly key: keyof RequestOptions;
	/** Returns `undefined` for an invalid value. */
	readonly parse: (value: string) => RequestOptions | undefined;
	readonly expected: string;
};

/** Maximum length of a session identifier or idempotency key, in characters. */
const maximumIdentifierLength = 200;
/** Maximum staleness that a contract allows, in milliseconds. */
const maximumStaleness = 86_400_000;
const booleans: ReadonlyMap<string, boolean> = new Map([['on', true], ['true', true], ['off', false], ['false', false]]);
const isIdentifier = (value: string) => value.length > 0 && value.length <= maximumIdentifierLength;

const optionRules: ReadonlyMap<string, OptionRule> = new Map<string, OptionRule>([
	['rank', {
		key: 'rank',
		expected: 'urgent, middle or least',
		parse(value) {
			const rank = ranks.find(candidate => String(candidate) === value.toLowerCase());
			return rank && {rank};
		},
	}],
	['max_staleness_ms', {
		key: 'maximumStalenessMilliseconds',
		expected: `a whole number of milliseconds from 0 to ${maximumStaleness}`,
		parse: value => /^\d{1,8}$/v.test(value) && Number(value) <= maximumStaleness ? {maximumStalenessMilliseconds: Number(value)} : undefined,
	}],
	['repeatable', {
		key: 'repeatable',
		expected: 'on or off',
		parse(value) {
			const repeatable = booleans.get(value.toLowerCase());
			return repeatable === undefined ? undefined : {repeatable};
		},
	}],
	['idempotency_key', {
		key: 'idempotencyKey',
		expected: `1 to ${maximumIdentifierLength} characters`,
		parse: value => isIdentifier(value) ? {idempotencyKey: value} : undefined,
	}],
	['session', {
		key: 'session',
		expected: `1 to ${maximumIdentifierLength} characters`,
		parse: value => isIdentifier(value) ? {session: value} : undefined,
	}],
	['position', {
		key: 'position',
		expected: 'a token of the form term:index',
		parse(value) {
			const position = parseLogPosition(value);
			return position && {position};
		},
	}],
	['group', {
		key: 'group',
		expected: 'the name of a group of the contract',
		parse: value => isIdentifier(value) ? {group: value} : undefined,
	}],
]);

/**
 * Returns the field that holds the value of an option.
 *
 * @param name - Name of the option without prefix.
 */
export function getOptionKey(name: string): keyof RequestOptions | undefined {
	return optionRules.get(name)?.key;
}

/**
 * Parses the value of an option.
 *
 * @param name - Name of the option without prefix.
 * @param value - Value from the caller.
 * @returns The field to set, or an error message for the caller.
 */
export function parseOption(name: string, value: string): Result<RequestOptions, string> {
	const rule = optionRules.get(name);
	if (!rule) {
		return err(`unknown request option "${name}"`);
	}

	const parsed = rule.parse(value);
	return parsed ? ok(parsed) : err(`invalid value for request option "${name}": "${value}"; expected ${rule.expected}`);
}

const commentPairPattern = /(?<name>[^\s,=]+)\s*=\s*'(?<value>(?:[^'\\]|\\.)*)'/gsv;

/**
 * Parses request options from comments in the sqlcommenter format. Unknown names, such as `traceparent`, are ignored.
 *
 * @param comments - Contents of the block comments of a statement.
 */
export function parseCommentOptions(comments: readonly string[]): Result<RequestOptions, string> {
	let options: RequestOptions = {};
	for (const {groups} of comments.flatMap(comment => [...comment.matchAll(commentPairPattern)])) {
		const name = groups?.name ?? '';
		if (!optionRules.has(name)) {
			continue;
		}

		const parsed = parseOption(name, decodeCommentValue(groups?.value ?? ''));
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		options = {...options, ...parsed.value};
	}

	return ok(options);
}

function decodeCommentValue(value: string): string {
	const unescaped = value.replaceAll(/\\(?<character>.)/gsv, '$<character>');
	try {
		return decodeURIComponent(unescaped);
	} catch {
		return unescaped;
	}
}

/**
 * Parses the start-up parameter `options` into settings, for example `-c tarragon.rank=urgent`.
 *
 * @param text - Value of the parameter. A backslash escapes a space.
 * @returns Pairs of name and value, or an error message for the caller.
 */
export function parseStartupOptions(text: string): Result<ReadonlyArray<readonly [string, string]>, string> {
	const words = [...text.matchAll(/(?:[^\s\\]|\\.)+/gsv)].map(([word]) => word.replaceAll(/\\(?<character>.)/gsv, '$<character>'));
	const settings: Array<readonly [string, string]> = [];
	for (let index = 0; index < words.length; index++) {
		const word = words[index] ?? '';
		const setting = word === '-c' ? words[++index] ?? '' : word.replace(/^(?:-c|--)/v, '');
		const separator = setting.indexOf('=');
		if (!word.startsWith('-') || separator < 1) {
			return err(`invalid start-up option "${word}"; expected -c name=value`);
		}

		settings.push([setting.slice(0, separator).toLowerCase(), setting.slice(separator + 1)]);
	}

	return ok(settings);
}
