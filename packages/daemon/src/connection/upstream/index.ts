export * from './create-upstream-pool.js';
export * from './driver-socket.js';
export * from './upstream-connection.js';
export * from './upstream-pool.js';
