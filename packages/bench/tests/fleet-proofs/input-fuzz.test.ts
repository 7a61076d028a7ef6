import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {loadContracts} from '../../src/fleet/index.js';
import {runInputFuzz} from '../../src/input-fuzz/index.js';
import {SeededRandom} from '../../src/load/index.js';
import {mutateBytes, mutateStructure} from '../../src/input-fuzz/mutation.js';

const seed = 20_261_204;

describe('input fuzzing', () => {
	it('finds no crash, unhandled error, memory growth or unclear message with a fixed seed', async () => {
		const contracts = await loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url)));
		const result = await runInputFuzz({
			seed, connections: 100, files: 8, contracts,
			log(line) {
				console.log(line);
			},
		});
		console.log(`seed ${seed}\n${result.coverage.format().join('\n')}`);
		expect(result.failures).toEqual([]);
	});

	it('fails without inputs, which guards against a run that verifies nothing', async () => {
		const contracts = await loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url)));
		const {failures} = await runInputFuzz({seed, connections: 0, files: 0, contracts, log() {}});
		expect(failures).toHaveLength(12);
	});

	it('creates the same mutations for the same seed, which guards against failures that cannot be reproduced', () => {
		const create = () => {
			const random = new SeededRandom(seed);
			return Array.from({length: 50}, () => [mutateBytes(random, Buffer.from('abcdefgh')).toString('hex'), mutateStructure(random, {a: [1, {b: 'c'}]})]);
		};

		expect(create()).toEqual(create());
	});
});
