import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';
import {KnownRedReporter} from './packages/bench/src/known-red/known-red-reporter.js';

export default defineConfig({
	test: {
		include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
		reporters: ['default', new KnownRedReporter(fileURLToPath(new URL('KNOWN-RED.txt', import.meta.url)))],
		setupFiles: ['vitest.setup.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Integration tests start about twenty processes each, so few files run at once.
		maxWorkers: 4,
	},
});
