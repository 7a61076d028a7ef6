export * from './instance/index.js';
export * from './key-value/index.js';
export * from './membership/index.js';
export * from './platform/index.js';
export * from './relay/index.js';

/** Version of the package. */
export const packageVersion = '0.1.0';
