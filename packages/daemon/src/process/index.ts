export * from './admin/index.js';
export * from './host-directory.js';
export type * from './ownership-table.js';
export * from './settings/index.js';
