export * from './platform-store.js';
export * from './wire-instance.js';
