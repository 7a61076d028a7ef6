export type * from './configuration-store.js';
