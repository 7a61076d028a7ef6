import {compareLogPositions, type Contract, formatLogPosition} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {
	getDefaultSetting, getOptionKey, isEntryHostSetting, optionPrefix, parseOption, type RequestOptions, SessionAction, type SessionStatement,
} from '../../request/index.js';
import {type CallerSession} from '../../request/caller-request.js';
import {type CallerError, SqlState} from './caller-error.js';

/** Result of a statement that sets, shows or resets a setting. */
export type SettingResult = {
	/** Command tag. */
	readonly tag: string;
	/** Column name and value returned by SHOW. */
	readonly row?: readonly [column: string, value: string];
};

/** Options and settings of one caller connection. */
export class SessionState {
	readonly callerSession: CallerSession = {observedPositions: new Map()};
	readonly #resetOptions: RequestOptions = {};
	#options: RequestOptions = {};
	readonly #settings = new Map<string, string>();
	readonly #defaultGroup: string;

	/**
	 * @param defaultGroup - Group that the database name in the startup message selects.
	 */
	constructor(defaultGroup: string) {
		this.#defaultGroup = defaultGroup;
	}

	/** Current request options. */
	get options(): Readonly<RequestOptions> {
		return this.#options;
	}

	/** Current group. */
	get group(): string {
		return this.#options.group ?? this.#defaultGroup;
	}

	/** Application name set by the caller. */
	get applicationName(): string {
		return this.#settings.get('application_name') ?? '';
	}

	/** Removes the idempotency key, which applies to one unit only. */
	clearIdempotencyKey(): void {
		delete this.#options.idempotencyKey;
	}

	/** Stores the current options as the values that RESET restores. */
	saveResetValues(): void {
		Object.assign(this.#resetOptions, this.#options, {idempotencyKey: undefined});
	}

	/**
	 * Executes a statement that sets, shows or resets a setting.
	 *
	 * @param statement - Statement that sets, shows or resets a setting.
	 * @param contract - Contract of the customer.
	 */
	apply(statement: SessionStatement, contract: Contract): Result<SettingResult, CallerError> {
		return statement.name.startsWith(optionPrefix)
			? this.#applyOption(statement, contract)
			: this.#applySetting(statement);
	}

	/**
	 * Checks a statement without applying it.
	 *
	 * @param statement - Statement that sets, shows or resets a setting.
	 * @param contract - Contract of the customer.
	 */
	check(statement: SessionStatement, contract: Contract): Result<void, CallerError> {
		const name = statement.name.slice(optionPrefix.length);
		if (!statement.name.startsWith(optionPrefix)) {
			return ok();
		}

		if (getOptionKey(name) === undefined) {
			return err({code: SqlState.InvalidParameterValue, message: `unknown request option "${statement.name}"`});
		}

		if (statement.action !== SessionAction.Set) {
			return ok();
		}

		return parseOption(name, statement.value ?? '')
			.mapErr((message): CallerError => ({code: SqlState.InvalidParameterValue, message}))
			.andThen(parsed => checkGroup(parsed.group, contract));
	}

	#applyOption(statement: SessionStatement, contract: Contract): Result<SettingResult, CallerError> {
		return this.check(statement, contract).map(() => {
			const name = statement.name.slice(optionPrefix.length);
			const key = getOptionKey(name) ?? 'rank';
			if (statement.action === SessionAction.Show) {
				return {tag: 'SHOW', row: [statement.name, this.#showOption(key)]};
			}

			const {[key]: _removed, ...others} = this.#options;
			const added = statement.action === SessionAction.Set
				? parseOption(name, statement.value ?? '').unwrapOr({})
				: {[key]: this.#resetOptions[key]};
			this.#options = {...others, ...added};
			this.callerSession.identifier = this.#options.session;
			this.callerSession.positionToken = this.#options.position;
			return {tag: statement.action === SessionAction.Set ? 'SET' : 'RESET'};
		});
	}

	#showOption(key: keyof RequestOptions): string {
		if (key === 'group') {
			return this.group;
		}

		if (key === 'position') {
			return this.#showPosition();
		}

		const value = this.#options[key];
		return typeof value === 'boolean' ? (value ? 'on' : 'off') : String(value ?? '');
	}

	/** Returns the greater of the position set by the caller and the one observed by its writes and reads. */
	#showPosition(): string {
		const observedPosition = this.callerSession.observedPositions.get(this.group);
		const {position} = this.#options;
		const greatestPosition = observedPosition && position && compareLogPositions(position, observedPosition) > 0
			? position
			: observedPosition ?? position;
		return greatestPosition ? formatLogPosition(greatestPosition) : '';
	}

	#applySetting(statement: SessionStatement): Result<SettingResult, CallerError> {
		if (!isEntryHostSetting(statement)) {
			return err({code: SqlState.FeatureNotSupported, message: `setting "${statement.name}" to "${statement.value ?? ''}" is not supported`});
		}

		if (statement.action === SessionAction.Show) {
			const value = this.#settings.get(statement.name) ?? getDefaultSetting(statement.name) ?? '';
			return ok({tag: 'SHOW', row: [statement.name, value]});
		}

		if (statement.action === SessionAction.Set) {
			this.#settings.set(statement.name, statement.value ?? '');
		} else {
			this.#settings.delete(statement.name);
		}

		return ok({tag: statement.action === SessionAction.Set ? 'SET' : 'RESET'});
	}
}

/**
 * Checks that a contract grants access to a group.
 *
 * @param group - Name of the group; `undefined` if none was selected.
 * @param contract - Contract of the customer.
 */
export function checkGroup(group: string | undefined, contract: Contract): Result<void, CallerError> {
	return group === undefined || contract.groups.includes(group)
		? ok()
		: err({code: SqlState.InvalidParameterValue, message: `the contract does not include the group "${group}"`});
}
