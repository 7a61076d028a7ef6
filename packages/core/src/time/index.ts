export * from './manual-timer-service.js';
export * from './system-timer-service.js';
export type * from './timer-service.js';
export * from './wait-at-most.js';
