import process from 'node:process';

// The library reads this variable when it is loaded and discards all messages without it, so import this module first.
process.env.ROARR_LOG ??= 'true';
