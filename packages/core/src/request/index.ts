export * from './acknowledgement-mode.js';
export * from './log-position.js';
export * from './log-position-schema.js';
export * from './rank.js';
export * from './refusal-reason.js';
export * from './request-kind.js';
export * from './transaction-status.js';
export type * from './upstream-request.js';
export * from './verdict.js';
