export * from './peer-network.js';
export * from './upstream/index.js';
