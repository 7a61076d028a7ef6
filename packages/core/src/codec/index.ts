export * from './frame-codec.js';
