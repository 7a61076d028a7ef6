export * from './relay.js';
export type * from './rule.js';
