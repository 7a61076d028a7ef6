export * from './dimension.js';
export * from './linear-fit.js';
export * from './measure-slopes.js';
