import {createHash} from 'node:crypto';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {contractSchema, type Contract} from '@tarragonstack/core';

/**
 * Returns the password that a fleet assigns to a user. It replaces the one in the contract, which only contains a digest.
 *
 * @param user - Name of the user.
 */
export function getUserPassword(user: string): string {
	return `${user}-of-the-fleet`;
}

/**
 * Reads all contracts of a directory, in the order of the file names.
 *
 * @param directory - Directory with one JSON file per contract.
 */
export async function loadContracts(directory: string): Promise<Contract[]> {
	const files = await readdir(directory);
	const contracts: Contract[] = [];
	for (const file of files.filter(name => name.endsWith('.json')).toSorted()) {
		const contract = contractSchema.parse(JSON.parse(await readFile(path.join(directory, file), 'utf8')));
		contracts.push({
			...contract,
			users: contract.users.map(({name}) => ({name, passwordSha256: createHash('sha256').update(getUserPassword(name)).digest('hex')})),
		});
	}

	if (contracts.length === 0) {
		throw new Error(`directory "${directory}" contains no contract`);
	}

	return contracts;
}
