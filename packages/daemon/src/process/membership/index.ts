export * from './fleet-directory.js';
export * from './rendezvous-ownership-table.js';
