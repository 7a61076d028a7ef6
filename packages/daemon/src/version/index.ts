export type * from './configuration-store.js';
export * from './effective-configuration-store.js';
