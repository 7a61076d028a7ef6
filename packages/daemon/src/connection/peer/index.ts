export * from './peer-connection-event.js';
export * from './peer-keys.js';
export * from './tcp-peer-network.js';
