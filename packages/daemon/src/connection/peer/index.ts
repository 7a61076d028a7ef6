export * from './peer-experience.js';
export * from './peer-keys.js';
export * from './tcp-peer-network.js';
