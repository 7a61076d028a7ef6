export * from './caller-listener.js';
