export * from './chunk-assembler.js';
export * from './peer-upstream-gateway.js';
export * from './read-index-service.js';
