export type * from './configuration-store.js';
export * from './effective-configuration-store.js';
export * from './fleet-configuration-store.js';
export * from './indexed-configuration-snapshot.js';
