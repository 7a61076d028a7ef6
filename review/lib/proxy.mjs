/* eslint-disable @stylistic/curly-newline -- a script of the review, which runs outside of CI */
// Loopback proxy in front of one address. It can cut the link for a while, or make all open connections silent while new ones work.
import {connect, createServer} from 'node:net';

export class Proxy {
	#pairs = new Set();
	#isCut = false;
	#cutPairs = new Set();
	#server;

	/** @returns Address of the proxy. */
	async listen(target) {
		const separator = target.lastIndexOf(':');
		this.#server = createServer(near => {
			const far = connect(Number(target.slice(separator + 1)), target.slice(0, separator));
			const pair = {near, far, isSilent: false, held: []};
			this.#pairs.add(pair);
			const forward = (from, to) => {
				from.setNoDelay(true);
				from.on('error', () => {});
				from.on('data', chunk => {
					if (this.#isCut) {
						pair.held.push(() => to.write(chunk));
					} else if (!pair.isSilent) {
						to.write(chunk);
					}
				});
				from.on('close', () => {
					this.#pairs.delete(pair);
					// A silent connection tells the other side nothing, not even its end.
					if (this.#isCut) {
						pair.held.push(() => to.destroy());
					} else if (!pair.isSilent) {
						to.destroy();
					}
				});
			};

			forward(near, far);
			forward(far, near);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, target.slice(0, separator), resolve);
		});
		return `${target.slice(0, separator)}:${this.#server.address().port}`;
	}

	get connectionCount() {
		return this.#pairs.size;
	}

	/** Makes the open connections silent for good, without closing them. */
	silenceOpenConnections() {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}
	}

	/** Cuts the link: what is sent is held up until `heal`. */
	cut() {
		this.#isCut = true;
		this.#cutPairs = new Set(this.#pairs);
	}

	heal() {
		this.#isCut = false;
		for (const pair of new Set([...this.#cutPairs, ...this.#pairs])) {
			for (const deliver of pair.held.splice(0)) {
				deliver();
			}
		}
	}

	close() {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}
}
