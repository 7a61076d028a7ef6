export * from './upstream-connection.js';
export * from './upstream-pool.js';
