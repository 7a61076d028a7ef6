import {expect, it} from 'vitest';
import {packageVersion} from '../src/index.js';

// Guards against an entry point that exports nothing.
it('exports the package version', () => {
	expect(packageVersion).toBe('0.1.0');
});
