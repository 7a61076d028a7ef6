export * from './connection-pools.js';
export * from './load-generator.js';
export type * from './load-request.js';
export type * from './rank-load.js';
export * from './rank-result.js';
export * from './request-outcome.js';
export * from './request-source.js';
export * from './seeded-random.js';
export * from './write-gap-tracker.js';
