export * from './rank-selection.js';
export * from './request-options.js';
export * from './session-settings.js';
export * from './session-statement.js';
export * from './sql-analysis.js';
export * from './sql-tokenizer.js';
export * from './statement-class.js';
