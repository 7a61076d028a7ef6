export type * from './group-ownership.js';
export * from './group-monitor.js';
export * from './instance-control.js';
export * from './instance-control-directory.js';
export * from './majority-term-confirmation.js';
export * from './status-poll-interval.js';
export * from './promoter.js';
export {PromotionError} from './promotion-attempt.js';
