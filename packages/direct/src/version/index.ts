export type * from './deployment-configuration.js';
