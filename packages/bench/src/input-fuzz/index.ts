export * from './run-input-fuzz.js';
export * from './coverage.js';
