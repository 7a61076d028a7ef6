export * from './peer/index.js';
export * from './peer-network.js';
