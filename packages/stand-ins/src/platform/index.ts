export * from './platform-store.js';
export * from './platform-instance.js';
