export * from './create-upstream-pool.js';
export * from './upstream-connection.js';
export * from './upstream-pool.js';
