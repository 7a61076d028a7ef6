export type * from './scheduled-work.js';
export * from './scheduling-policy.js';
export type * from './scheduling-strategy.js';
export * from './service-time-estimates.js';
export * from './slot-queue.js';
export * from './idempotency-statements.js';
export * from './position-waiters.js';
export * from './statement-connection.js';
export * from './running-statements.js';
