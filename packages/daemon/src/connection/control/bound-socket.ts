import {Socket} from 'node:net';

/**
 * Creates a socket for `pg` that connects from the given source address, by which the server and the network identify
 * this host.
 *
 * @param localAddress - Source address.
 */
export function createBoundSocket(localAddress: string): Socket {
	const socket = new Socket();
	const connect = socket.connect.bind(socket);
	return Object.assign(socket, {
		connect: (port: number, host: string) => connect({port, host, localAddress}),
	});
}
