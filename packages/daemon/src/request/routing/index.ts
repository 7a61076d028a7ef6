export * from './adaptive-throttle.js';
export * from './read-index-client.js';
export type * from './read-index-source.js';
export * from './request-router.js';
export * from './retry-budget.js';
export * from './upstream-load-table.js';
