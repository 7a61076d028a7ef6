export * from './peer-network.js';
