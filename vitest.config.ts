import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
		setupFiles: ['vitest.setup.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Integration tests start about twenty processes each, so few files run at once.
		maxWorkers: 4,
	},
});
