export * from './instance/index.js';
export * from './key-value/index.js';
export * from './membership/index.js';
export * from './platform/index.js';
export * from './relay/index.js';

/** Package version, equal to the one in package.json. */
export const packageVersion = '0.1.0';
