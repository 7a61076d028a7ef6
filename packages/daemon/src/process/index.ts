export * from './admin/index.js';
export * from './host-directory.js';
export * from './membership/index.js';
export type * from './ownership-table.js';
export * from './settings/index.js';
export * from './instance-executors.js';
export * from './instance-scheduler.js';
export type * from './instance-scheduler-options.js';
