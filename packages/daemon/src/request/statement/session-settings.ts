import {SessionAction, type SessionStatement} from './session-statement.js';

/** Prefix of the names of request options in SET, SHOW and RESET. */
export const optionPrefix = 'tarragon.';

type SettingRule = {
	/** Value that a new session shows. */
	readonly initial: string;
	/** Whether the value leaves the results of statements as they are on a pooled connection. */
	readonly isHarmless: (value: string) => boolean;
};

const anyValue = () => true;
const only = (...values: readonly string[]) => (value: string) => values.includes(value.toLowerCase().replaceAll(/["'\s]/gv, ''));

/** Settings that drivers set when they connect. The entry host keeps them and answers for them. */
const settingRules: ReadonlyMap<string, SettingRule> = new Map<string, SettingRule>([
	// eslint-disable-next-line unicorn/text-encoding-identifier-case -- drivers use all these spellings.
	['client_encoding', {initial: 'UTF8', isHarmless: only('utf8', 'utf-8', 'unicode')}],
	['application_name', {initial: '', isHarmless: anyValue}],
	// Since PostgreSQL 12 all values above 0 give the same shortest exact output.
	['extra_float_digits', {initial: '1', isHarmless: only('1', '2', '3')}],
	['datestyle', {initial: 'ISO, MDY', isHarmless: only('iso', 'iso,mdy')}],
	['intervalstyle', {initial: 'postgres', isHarmless: only('postgres')}],
	['timezone', {initial: 'UTC', isHarmless: only('utc', 'etc/utc', 'gmt')}],
	['standard_conforming_strings', {initial: 'on', isHarmless: only('on', 'true', '1')}],
	['client_min_messages', {initial: 'notice', isHarmless: anyValue}],
	// The time limit of the contract applies instead.
	['statement_timeout', {initial: '0', isHarmless: value => /^\d+\s*(?:us|ms|s|min|h|d)?$/v.test(value)}],
	['lock_timeout', {initial: '0', isHarmless: only('0')}],
	['idle_in_transaction_session_timeout', {initial: '0', isHarmless: only('0')}],
	['search_path', {initial: '"$user", public', isHarmless: only('public', '$user,public')}],
]);

/**
 * States whether the entry host answers a statement on a setting.
 *
 * @param statement - Statement that sets, shows or resets a setting.
 */
export function isLocalSetting(statement: SessionStatement): boolean {
	if (statement.name.startsWith(optionPrefix)) {
		return true;
	}

	const rule = settingRules.get(statement.name);
	return rule !== undefined && (statement.action !== SessionAction.Set || rule.isHarmless(statement.value ?? ''));
}

/**
 * Returns the value that a new session shows for a setting, or `undefined` when the entry host does not keep it.
 *
 * @param name - Name of the setting in lower case.
 */
export function getInitialSetting(name: string): string | undefined {
	return settingRules.get(name)?.initial;
}
