import process from 'node:process';

// The library decides when it is loaded whether it discards all messages, so this module must be imported before it.
process.env.ROARR_LOG ??= 'true';
