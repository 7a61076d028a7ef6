export * from './host-directory.js';
export * from './membership/index.js';
export type * from './ownership-table.js';
