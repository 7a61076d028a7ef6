export * from './postgres-instance-control.js';
