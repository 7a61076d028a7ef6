export * from './peer-network.js';
export * from './caller/index.js';
