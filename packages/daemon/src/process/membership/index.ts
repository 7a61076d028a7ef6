export * from './fleet-directory.js';
export * from './rendezvous-hash.js';
export * from './rendezvous-ownership-table.js';
