import {readFileSync} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {settingsSchema, type Settings} from './settings.js';

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the JSON file.
 * @returns The settings, or one message for each error with the path of the field and the expected value.
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
	if (!parsed.success) {
		return err(parsed.error.issues.map(issue => formatIssue(issue)));
	}

	const {callers, peers} = parsed.data;
	const errors = [...listKeyErrors('callers.tls', callers.tls), ...listKeyErrors('peers.tls', peers.tls)];
	return errors.length === 0 ? ok(parsed.data) : err(errors);
}

/** Returns the errors of files that cannot be read, or the error of a certificate and key that cannot be used together. */
function listKeyErrors(path: string, files: Readonly<Record<string, string>> = {}): string[] {
	const errors: string[] = [];
	const contents: Record<string, string> = {};
	for (const [field, file] of Object.entries(files)) {
		try {
			contents[field] = readFileSync(file, 'utf8');
		} catch (error) {
			errors.push(`${path}.${field}: a file that can be read is expected: ${String(error)}`);
		}
	}

	if (errors.length > 0) {
		return errors;
	}

	try {
		createSecureContext({cert: contents.certificateFile, key: contents.keyFile, ca: contents.authorityFile});
		return [];
	} catch (error) {
		return [`${path}: a certificate and its key in PEM form are expected: ${String(error)}`];
	}
}

function formatIssue(issue: z.core.$ZodIssue): string {
	const path = issue.path.length === 0 ? '(top level)' : issue.path.join('.');
	return `${path}: ${issue.message}`;
}
