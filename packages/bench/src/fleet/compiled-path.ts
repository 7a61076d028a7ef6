import {createRequire} from 'node:module';
import path from 'node:path';

const require = createRequire(import.meta.url);

/**
 * Returns the path of a compiled file of a package, also if the calling code runs uncompiled in the test runner.
 *
 * @param packageName - Name of the package.
 * @param file - Path relative to the `dist` folder.
 */
export function getCompiledPath(packageName: string, file: string): string {
	return path.join(path.dirname(require.resolve(packageName)), file);
}
