export * from './host-directory.js';
export type * from './ownership-table.js';
