import {SessionAction, type SessionStatement} from './session-statement.js';

/** Prefix of the names of request options in SET, SHOW and RESET. */
export const optionPrefix = 'tarragon.';

type SettingRule = {
	/** Value in a new session. */
	readonly defaultValue: string;
	/** Returns whether the value does not affect the results of statements on a pooled connection. */
	readonly isAllowed: (value: string) => boolean;
};

const anyValue = () => true;
const oneOf = (...values: readonly string[]) => (value: string) => values.includes(value.toLowerCase().replaceAll(/["'\s]/gv, ''));

/** Settings that drivers set when they connect. The entry host stores them and handles statements on them. */
const settingRules: ReadonlyMap<string, SettingRule> = new Map<string, SettingRule>([
	// eslint-disable-next-line unicorn/text-encoding-identifier-case -- drivers use all of these spellings.
	['client_encoding', {defaultValue: 'UTF8', isAllowed: oneOf('utf8', 'utf-8', 'unicode')}],
	['application_name', {defaultValue: '', isAllowed: anyValue}],
	// Since PostgreSQL 12 all values above 0 give the same shortest exact output.
	['extra_float_digits', {defaultValue: '1', isAllowed: oneOf('1', '2', '3')}],
	['datestyle', {defaultValue: 'ISO, MDY', isAllowed: oneOf('iso', 'iso,mdy')}],
	['intervalstyle', {defaultValue: 'postgres', isAllowed: oneOf('postgres')}],
	['timezone', {defaultValue: 'UTC', isAllowed: oneOf('utc', 'etc/utc', 'gmt')}],
	['standard_conforming_strings', {defaultValue: 'on', isAllowed: oneOf('on', 'true', '1')}],
	['client_min_messages', {defaultValue: 'notice', isAllowed: anyValue}],
	// The timeout of the contract applies instead.
	['statement_timeout', {defaultValue: '0', isAllowed: value => /^\d+\s*(?:us|ms|s|min|h|d)?$/v.test(value)}],
	['lock_timeout', {defaultValue: '0', isAllowed: oneOf('0')}],
	['idle_in_transaction_session_timeout', {defaultValue: '0', isAllowed: oneOf('0')}],
	['search_path', {defaultValue: '"$user", public', isAllowed: oneOf('public', '$user,public')}],
]);

/**
 * Returns whether the entry host handles a statement on a setting itself.
 *
 * @param statement - Statement that sets, shows or resets a setting.
 */
export function isEntryHostSetting(statement: SessionStatement): boolean {
	if (statement.name.startsWith(optionPrefix)) {
		return true;
	}

	const rule = settingRules.get(statement.name);
	return rule !== undefined && (statement.action !== SessionAction.Set || rule.isAllowed(statement.value ?? ''));
}

/**
 * Returns the value of a setting in a new session, or `undefined` if the entry host does not store the setting.
 *
 * @param name - Name of the setting in lower case.
 */
export function getDefaultSetting(name: string): string | undefined {
	return settingRules.get(name)?.defaultValue;
}
