export * from './contract-loader.js';
export * from './deployment.js';
export * from './fleet.js';
export * from './json-client.js';
export * from './loopback-range.js';
export * from './managed-process.js';
export * from './network-control.js';
export * from './temporary-directory.js';
