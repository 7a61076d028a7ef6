export * from './read-settings.js';
export * from './settings.js';
