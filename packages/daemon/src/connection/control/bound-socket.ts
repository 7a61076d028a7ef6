import {Socket} from 'node:net';

/**
 * Creates a socket that `pg` connects. The connection leaves from the given address, so that the other side and the
 * network recognize this host.
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
