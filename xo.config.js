/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', '**/dist-tests/**', 'coverage/**', 'reports/**']},
	{
		rules: {
			// The house style stores data in enums and releases resources with `await using`.
			'no-restricted-syntax': 'off',
			'unicorn/no-process-exit': 'off',
			// Connections and peers are served by one task each, written as a sequential loop.
			'no-await-in-loop': 'off',
			complexity: ['error', 15],
			'max-lines': ['error', {max: 450, skipBlankLines: true, skipComments: true}],
			'max-params': ['error', 5],
			'no-bitwise': 'off',
			// Tables of test cases keep one case a line. The automatic fix of this rule also corrupts long lines.
			'@stylistic/object-curly-newline': 'off',
			// Log lines and messages in enums need no further rule on capitalization of comments.
			'capitalized-comments': 'off',
			'no-warning-comments': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/class-literal-property-style': 'off',
			'@typescript-eslint/prefer-promise-reject-errors': 'error',
			'n/no-unsupported-features/node-builtins': 'off',
			// Node.js streams and the PostgreSQL libraries exchange Buffer objects.
			'n/prefer-global/buffer': 'off',
			'n/prefer-global/process': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/no-empty-function': 'off',
			// Contradicts @typescript-eslint/return-await, which demands `await` in `await using` and `try` blocks.
			'no-return-await': 'off',
			'@stylistic/curly-newline': 'off',
			'unicorn/no-useless-undefined': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'@typescript-eslint/promise-function-async': 'off',
			// Node.js types addresses and stream chunks more widely than the calls used here can return.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['**/tests/**/*.ts', 'vitest.config.ts', 'vitest.setup.ts'],
		rules: {
			'max-lines': 'off',
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/restrict-plus-operands': 'off',
			'unicorn/no-await-expression-member': 'off',
			// The test runner is a development dependency of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['platform/bundle/bundle.mjs'],
		rules: {
			// The bundler is a development dependency of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['packages/daemon/src/request/**/*.ts'],
		rules: {
			'no-restricted-imports': ['error', {patterns: ['**/connection/**', '**/process/**']}],
		},
	},
];

export default config;
