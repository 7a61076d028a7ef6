export * from './adapters/index.js';
export * from './codec/index.js';
export * from './observability/index.js';
export * from './request/index.js';
export * from './time/index.js';
export * from './version/index.js';
export {z} from 'zod';
