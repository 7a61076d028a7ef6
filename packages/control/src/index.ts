export * from './exit-code.js';
export * from './run-program.js';

/** Version of the package. */
export const packageVersion = '0.1.0';
