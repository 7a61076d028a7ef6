import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {settingsSchema, type Settings} from './settings.js';

/**
 * Reads and checks a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings, or one line for each fault with the path of the field and what was expected.
 */
export function readSettings(file: string): Result<Settings, string[]> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return err([`settings file "${file}" cannot be read: ${String(error)}`]);
	}

	let data: unknown;
	try {
		data = JSON.parse(text);
	} catch (error) {
		return err([`settings file "${file}" is not JSON: ${String(error)}`]);
	}

	const parsed = settingsSchema.safeParse(data);
	return parsed.success ? ok(parsed.data) : err(parsed.error.issues.map(issue => formatIssue(issue)));
}

function formatIssue(issue: z.core.$ZodIssue): string {
	const path = issue.path.length === 0 ? '(top level)' : issue.path.join('.');
	return `${path}: ${issue.message}`;
}
