export * from './membership-server.js';
