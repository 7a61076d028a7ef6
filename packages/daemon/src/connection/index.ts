export * from './gateway/index.js';
export * from './peer/index.js';
export * from './peer-network.js';
export * from './upstream/index.js';
export * from './control/index.js';
export * from './caller/index.js';
