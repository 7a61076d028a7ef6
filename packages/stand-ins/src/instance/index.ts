export * from './database-instance.js';
export type * from './instance-options.js';
