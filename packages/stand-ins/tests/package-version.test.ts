import {expect, it} from 'vitest';
import {packageVersion} from '../src/index.js';

it('exports its version, so that a package without exports is noticed', () => {
	expect(packageVersion).toBe('0.1.0');
});
