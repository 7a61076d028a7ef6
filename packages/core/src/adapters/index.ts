export type * from './key-value-service.js';
export * from './membership-list.js';
