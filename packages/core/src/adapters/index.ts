export * from './consul-membership-list.js';
export * from './etcd-key-value-service.js';
export type * from './key-value-service.js';
export * from './membership-list.js';
export * from './shared-store.js';
export * from './store-revision.js';
