export * from './fleet/index.js';
export * from './load/index.js';

/** Version of the package. */
export const packageVersion = '0.1.0';
