export * from './configuration.js';
export * from './contract.js';
