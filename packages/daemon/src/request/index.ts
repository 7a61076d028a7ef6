export type * from './caller-request.js';
export * from './group-view.js';
export type * from './instance-executor.js';
export * from './term-confirmation.js';
export * from './statement/index.js';
