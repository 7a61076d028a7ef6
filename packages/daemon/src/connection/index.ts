export * from './peer-network.js';
export * from './control/index.js';
