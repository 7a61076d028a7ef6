/* eslint-disable require-unicode-regexp -- a script of the review, which runs outside of CI */
// Client of the wire protocol (PROTOCOL: "Clients").
import {connect} from 'node:net';

export class Client {
	closed = false;
	#pending = '';
	#wake;

	constructor(address) {
		const separator = address.lastIndexOf(':');
		this.socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator));
		this.socket.setNoDelay(true);
		this.socket.on('data', chunk => {
			this.#pending += chunk.toString('latin1');
			this.#wake?.();
		});
		this.socket.on('error', error => {
			this.error = error.code;
		});
		this.socket.on('close', () => {
			this.closed = true;
			this.#wake?.();
		});
		// The other side has ended the connection; nothing further can arrive.
		this.socket.on('end', () => {
			this.ended = true;
			this.#wake?.();
		});
	}

	async startUp(database) {
		this.socket.write(`STARTUP ${database} u1\r\n`);
		return this.#receive();
	}

	/** Sends a statement; resolves with its complete response, or undefined if the connection ended before it. */
	async query(id, text) {
		this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
		return this.#receive();
	}

	async #receive() {
		for (;;) {
			const match = /^(?:[^\r]*\r\n)*?READY [^\r]*\r\n/.exec(this.#pending);
			if (match) {
				this.#pending = this.#pending.slice(match[0].length);
				return match[0].trim().split('\r\n').join(' | ');
			}

			if (this.closed || this.ended) {
				return undefined;
			}

			await new Promise(resolve => {
				this.#wake = resolve;
			});
		}
	}

	/** Text that has arrived and is no complete response, such as the error with which a session is refused. */
	get text() {
		return this.#pending.trim();
	}

	close() {
		this.socket.destroy();
	}
}
