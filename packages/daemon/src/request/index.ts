export type * from './caller-request.js';
export * from './group-view.js';
export type * from './instance-executor.js';
export * from './term-confirmation.js';
export * from './routing/index.js';
export * from './scheduling/index.js';
export * from './failover/index.js';
export * from './statement/index.js';
