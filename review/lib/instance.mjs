/* eslint-disable @stylistic/curly-newline, complexity, require-unicode-regexp -- a script of the review, which runs outside of CI */
// Stand-in of a database instance (PROTOCOL: "The wire", "Instances"). It keeps a log and transactions, and replicas follow their primary.
import {createServer} from 'node:net';

const maximumQueue = 16;

export class Instance {
	log = [];
	term = 1;
	/** Commits that this instance made as a primary: {commit, committedAt, term}. */
	commits = [];
	/** Runs of statements: {at, id, text, outcome}. */
	runs = [];
	#server = createServer(socket => {
		this.#serve(socket);
	});
	#sockets = new Set();
	#busy = 0;
	#queue = [];

	/**
	 * @param options - Service, id, role, lag of a replica and a function that returns the work of a statement, in milliseconds.
	 */
	constructor({service, id, role, slots = 2, maxConnections = 30, work = () => 5, lagMilliseconds = 60, record = () => {}}) {
		Object.assign(this, {service, id, role, slots, maxConnections, work, lagMilliseconds, record});
	}

	get position() {
		return `${this.term}.${this.log.length}`;
	}

	async listen(host) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Follows another instance: its commits arrive after the lag, and its term at once. */
	follow(leader) {
		this.leader = leader;
		this.role = 'replica';
		this.term = leader.term;
		// What this instance has and its leader has not is rolled back.
		this.log.length = Math.min(this.log.length, leader.log.length);
		this.log = leader.log.slice(0, this.log.length);
	}

	/** Leads a term with the log that it has. */
	lead(term) {
		this.leader = undefined;
		this.role = 'primary';
		this.term = term;
	}

	/** Applies a commit of the leader. */
	receive(leader, entry, number) {
		setTimeout(() => {
			if (this.leader === leader && this.log.length === number - 1) {
				this.log.push(entry);
			}
		}, this.lagMilliseconds);
	}

	#serve(socket) {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		const session = {status: 'I', readOnly: false, writes: [], prepared: new Map(), started: false};
		socket.on('error', () => {});
		socket.on('close', () => {
			this.#sockets.delete(socket);
			session.writes = [];
			session.closed = true;
		});
		let pending = '';
		let chain = Promise.resolve();
		socket.on('data', chunk => {
			pending += chunk.toString('latin1');
			const lines = pending.split('\r\n');
			pending = lines.pop();
			for (const line of lines) {
				chain = chain.then(async () => {
					const text = session.closed ? '' : await this.#handle(line, session, socket);
					if (text && !socket.destroyed) {
						socket.write(text, 'latin1');
					}
				});
			}
		});
	}

	async #handle(line, session, socket) {
		const ready = () => `READY ${session.status} ${this.position}\r\n`;
		const [word, ...fields] = line.split(' ');
		if (word === 'STARTUP') {
			if (this.#sockets.size > this.maxConnections) {
				socket.end('ERROR TOOMANY\r\n');
				return '';
			}

			if (fields[0] !== this.service || (fields[2] !== undefined && fields[2] !== this.id)) {
				socket.end(`ERROR WRONGNODE ${this.id}\r\n`);
				return '';
			}

			return ready();
		}

		if (word === 'TERMINATE') {
			socket.end();
			return '';
		}

		const id = fields[0];
		const whole = fields.slice(1).join(' ');
		const [, minimum, text] = /^(?:AFTER (\S+) )?(.*)$/s.exec(whole);
		const fail = (code, message = this.id) => {
			session.status = session.status === 'I' ? 'I' : 'E';
			session.writes = [];
			return `ERROR ${code} ${message}\r\n${ready()}`;
		};

		const [verb, name, ...rest] = text.split(' ');
		if (session.status === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') {
			return fail('MALFORMED', 'the transaction failed');
		}

		if (minimum) {
			const [term, number] = minimum.split('.').map(Number);
			if (term > this.term || (term === this.term && number > this.log.length)) {
				return fail('LAGGING');
			}
		}

		switch (verb) {
			case 'STATUS': {
				return `ROW ${this.role} ${this.term} ${this.position} 0 0 ${this.#busy} ${this.#sockets.size}\r\nCOMPLETE -\r\n${ready()}`;
			}

			case 'STEPDOWN': {
				if (this.role === 'primary' && Number(name) > this.term) {
					this.role = 'replica';
					this.onStepDown?.();
				}

				return `ROW ${this.role} ${this.term} ${this.position} 0 0 ${this.#busy} ${this.#sockets.size}\r\nCOMPLETE -\r\n${ready()}`;
			}

			case 'SET': case 'DEALLOC': {
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'RESET': {
				session.prepared.clear();
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'PREPARE': {
				if (rest[0] !== 'READ' && rest[0] !== 'WRITE') {
					return fail('MALFORMED', text);
				}

				session.prepared.set(name, {kind: rest[0], shape: rest.slice(1).join(' ')});
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'BEGIN': {
				if (name !== 'READ' && this.role !== 'primary') {
					return fail('READONLY');
				}

				session.status = 'T';
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'ROLLBACK': {
				session.status = 'I';
				session.writes = [];
				return `COMPLETE -\r\n${ready()}`;
			}

			default: {
				return this.#run({id, verb, name, text, session, fail, ready});
			}
		}
	}

	/** Runs a read, write or commit, which occupies a slot. */
	async #run({id, verb, name, text, session, fail, ready}) {
		const prepared = verb === 'EXECUTE' ? session.prepared.get(name) : undefined;
		const kind = verb === 'EXECUTE' ? prepared?.kind : verb;
		if (!['READ', 'WRITE', 'COMMIT'].includes(kind)) {
			return fail(verb === 'EXECUTE' ? 'NOSTMT' : 'MALFORMED');
		}

		if (kind === 'WRITE' && this.role !== 'primary') {
			return fail('READONLY');
		}

		if (this.#busy >= this.slots && this.#queue.length >= maximumQueue) {
			return fail('BUSY');
		}

		const at = Date.now();
		await this.#occupySlot(this.work(kind, text));
		if (session.closed) {
			this.#note({at, id, text, outcome: 'connection closed before the end'});
			return '';
		}

		if (kind === 'WRITE') {
			session.writes.push({id, text});
		}

		if (kind === 'COMMIT' ? session.status === 'T' : kind === 'WRITE' && session.status === 'I') {
			this.#commit(session, id);
		}

		if (kind === 'COMMIT') {
			session.status = 'I';
		}

		this.#note({at, id, text, outcome: 'ran', ...(prepared && {prepared})});
		return `${kind === 'READ' ? `ROW ${this.log.length}\r\n` : ''}COMPLETE proof.${this.id}.${id}\r\n${ready()}`;
	}

	#note(run) {
		this.runs.push(run);
		this.record({event: 'run', instance: this.id, ...run});
	}

	#commit(session, id) {
		if (session.writes.length > 0) {
			const entry = {commit: id, writes: session.writes.splice(0)};
			this.log.push(entry);
			this.commits.push({commit: id, committedAt: Date.now(), term: this.term});
			for (const member of this.members ?? []) {
				if (member.leader === this) {
					member.receive(this, entry, this.log.length);
				}
			}
		}
	}

	async #occupySlot(milliseconds) {
		if (this.#busy >= this.slots) {
			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		} else {
			this.#busy++;
		}

		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
		const next = this.#queue.shift();
		if (next) {
			next();
		} else {
			this.#busy--;
		}
	}
}
