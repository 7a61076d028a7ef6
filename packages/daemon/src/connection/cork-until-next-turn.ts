import {type Socket} from 'node:net';

const corkedSockets = new WeakSet<Socket>();

/**
 * Buffers the writes to a socket until the current turn of the event loop ends, so that they need one system call.
 *
 * Under load, the system calls for single small writes used the largest part of a host's processor time.
 *
 * @param socket - Socket that is about to be written to.
 */
export function corkUntilNextTurn(socket: Socket): void {
	if (corkedSockets.has(socket)) {
		return;
	}

	corkedSockets.add(socket);
	socket.cork();
	setImmediate(() => {
		corkedSockets.delete(socket);
		socket.uncork();
	});
}
