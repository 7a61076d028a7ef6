export * from './http-endpoint.js';
export * from './lifecycle.js';
