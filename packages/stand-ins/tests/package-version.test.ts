import {expect, it} from 'vitest';
import {packageVersion} from '../src/index.js';

it('exports its version, which guards against a package without exports', () => {
	expect(packageVersion).toBe('0.1.0');
});
