export * from './connection/index.js';
export * from './process/index.js';
export * from './request/index.js';
export type * from './version/index.js';
