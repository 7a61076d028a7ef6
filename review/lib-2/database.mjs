/* eslint-disable @stylistic/curly-newline, camelcase, complexity, require-unicode-regexp, unicorn/no-array-sort -- a script of the review, which runs outside of CI */
/**
 * Stand-in of a database service: one primary and its replicas, which speak the wire of PROTOCOL.md. Replicas receive commits
 * over the network and apply them later; with `sync` 1 a commit is acknowledged once a replica has received it. A promoted
 * instance leads the next term with what it had received; replicas that are ahead are rolled back.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import {randomBytes} from 'node:crypto';

const heartbeatMilliseconds = 1200;
const pause = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

export class Database {
	/** Promotions that took effect: {at, id, term, position}. */
	promoted = [];
	/** Commits at any instance: {id, instance, term, at}. */
	commits = [];
	instances = [];

	constructor(platform, {name, sync = 0, slots = 2, queue = 16, maximumConnections = 30, workMilliseconds = 5, promoteMilliseconds = 1000, lagMilliseconds = 60}) {
		Object.assign(this, {platform, name, sync, slots, queue, maximumConnections, workMilliseconds, promoteMilliseconds, lagMilliseconds});
	}

	async add(id, zone, address, role) {
		const instance = new Instance(this, {id, zone, role});
		await instance.start(address);
		this.instances.push(instance);
		return instance;
	}

	get(id) {
		return this.instances.find(instance => instance.id === id);
	}

	get leader() {
		return this.instances.filter(({role}) => role === 'primary').sort((a, b) => b.term - a.term)[0];
	}

	/** Handles an order of the platform; returns the HTTP status. */
	promote(id) {
		const instance = this.get(id);
		if (!instance?.isRunning) {
			return 409;
		}

		if (this.leader !== instance) {
			setTimeout(() => this.#lead(instance), this.promoteMilliseconds);
		}

		return 200;
	}

	#lead(instance) {
		if (!instance.isRunning || (this.leader === instance)) {
			return;
		}

		const former = this.leader;
		instance.term = Math.max(...this.instances.map(({term}) => term)) + 1;
		instance.role = 'primary';
		instance.setReport();
		this.promoted.push({at: performance.now(), id: instance.id, term: instance.term, position: instance.position, former: former?.id, log: instance.log.map(({id}) => id)});
		for (const other of this.instances) {
			if (other !== instance && other !== former && other.isRunning && other.role === 'replica') {
				other.follow(instance);
			}
		}

		// The old primary continues until STEPDOWN, or until a second after it can reach the new one.
		setTimeout(() => {
			if (former?.isRunning && former.role === 'primary' && former.term < instance.term) {
				former.stepDown(instance);
			}
		}, 1000);
	}

	close() {
		for (const instance of this.instances) {
			instance.close();
		}
	}
}

class Instance {
	log = [];
	term = 1;
	isRunning = false;
	/** Whether the instance receives nothing from the primary. */
	isDeaf = false;
	state = 'ready';
	/** Returns the rows of a read; a case may replace it. */
	readRows = item => this.log.filter(entry => entry.item === item).slice(-1).map(({data}) => data);
	/** Statements of clients that ran here: {id, text}. */
	ran = [];
	#sockets = new Set();
	#busy = 0;
	#waiting = [];
	#sequence = 0;
	#beats;

	constructor(database, {id, zone, role}) {
		Object.assign(this, {database, id, zone, role});
	}

	get position() {
		return `${this.log.at(-1)?.term ?? this.term}.${this.log.length}`;
	}

	get connections() {
		return this.#sockets.size;
	}

	async start(address) {
		this.server = createServer(socket => this.#serve(socket));
		const [host, port = '0'] = address.split(':');
		this.server.listen(Number(port), host);
		await once(this.server, 'listening');
		this.address = `${host}:${this.server.address().port}`;
		this.isRunning = true;
		this.born ??= Date.now();
		this.setReport();
		this.#beats = setInterval(() => {
			this.#sequence++;
		}, heartbeatMilliseconds);
	}

	/** Writes the entry; it changes when more than `seq` changes. */
	setReport() {
		this.#sequence++;
		this.database.platform.put(`servers/${this.id}`, {
			backend: this.database.name, address: this.publicAddress ?? this.address, zone: this.zone, config_version: 'v1', slots: this.database.slots, state: this.state,
			cold_remaining_ms: 0, db_role: this.role, seq: this.#sequence, born: this.born,
		});
	}

	drain() {
		this.state = 'draining';
		this.setReport();
	}

	/** Stops without a word. Its entry goes after three intervals of silence. */
	crash() {
		this.isRunning = false;
		clearInterval(this.#beats);
		this.server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#busy = 0;
		this.#waiting = [];
		setTimeout(() => {
			if (!this.isRunning) {
				this.database.platform.remove(`servers/${this.id}`);
			}
		}, 3 * heartbeatMilliseconds);
	}

	/** Comes back with its log, as a replica if another instance was promoted. */
	async comeBack() {
		const {leader} = this.database;
		if (leader !== this && leader.term > this.term) {
			this.role = 'replica';
			this.follow(leader);
		}

		this.born = Date.now();
		this.#sequence = 0;
		await this.start(this.address);
		this.catchUp();
	}

	close() {
		this.isRunning = false;
		clearInterval(this.#beats);
		this.server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	stepDown(leader) {
		this.role = 'replica';
		this.follow(leader);
		this.setReport();
	}

	/** Follows a primary: what it lacks is rolled back, and what this instance lacks is received. */
	follow(leader) {
		this.term = leader.term;
		let same = 0;
		while (same < this.log.length && same < leader.log.length && this.log[same] === leader.log[same]) {
			same++;
		}

		this.log.length = same;
		this.catchUp(leader);
	}

	catchUp(leader = this.database.leader) {
		if (!this.isDeaf && this.isRunning && leader.isRunning && this.role === 'replica') {
			this.log.push(...leader.log.slice(this.log.length));
		}
	}

	/** Appends a commit at the primary; resolves once it may be acknowledged. */
	async append(entries) {
		const start = this.log.length;
		for (const entry of entries) {
			this.log.push({...entry, term: this.term, number: this.log.length + 1});
			this.database.commits.push({id: entry.id, instance: this.id, term: this.term, at: performance.now()});
		}

		const end = this.log.length;
		const {sync, instances} = this.database;
		const receivers = instances.filter(other => other !== this && other.role === 'replica');
		const received = receivers.map(async other => {
			for (;;) {
				await pause(1);
				if (this.isRunning && other.isRunning && !other.isDeaf && other.term <= this.term) {
					other.catchUp(this);
					return;
				}

				await pause(20);
				if (!this.isRunning || this.role !== 'primary') {
					await new Promise(() => {});
				}
			}
		});
		if (sync > 0) {
			await Promise.race(received);
		}

		return {start, end};
	}

	async #work() {
		const {slots, queue, workMilliseconds} = this.database;
		if (this.#busy >= slots) {
			if (this.#waiting.length >= queue) {
				return false;
			}

			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#busy++;
		await pause(workMilliseconds);
		this.#busy--;
		this.#waiting.shift()?.();
		return true;
	}

	#serve(socket) {
		if (this.#sockets.size >= this.database.maximumConnections) {
			socket.on('error', () => {});
			socket.end('ERROR TOOMANY connections\r\n');
			return;
		}

		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => {});
		socket.on('close', () => this.#sockets.delete(socket));
		const session = {status: 'I', writes: [], prepared: new Map(), isReadOnly: false};
		let pending = '';
		let previous = Promise.resolve();
		socket.on('data', chunk => {
			pending += chunk.toString('latin1');
			const lines = pending.split('\r\n');
			pending = lines.pop();
			for (const line of lines) {
				previous = previous.then(async () => {
					const answer = await this.#handle(line, session, socket);
					if (answer !== undefined && !socket.destroyed) {
						socket.write(answer, 'latin1');
					}
				});
			}
		});
	}

	async #handle(line, session, socket) {
		const ready = () => `READY ${session.status} ${this.position}\r\n`;
		const [word, first, ...rest] = line.split(' ');
		if (word === 'TERMINATE') {
			socket.end();
			return undefined;
		}

		if (word === 'STARTUP') {
			if (first !== this.database.name || (rest[1] !== undefined && rest[1] !== this.id)) {
				socket.end('ERROR WRONGNODE other\r\n');
				return undefined;
			}

			await pause(12);
			return ready();
		}

		const text = rest.join(' ');
		const fail = (code, fatal = true) => {
			if (session.status === 'T' && fatal) {
				session.status = 'E';
			}

			return `ERROR ${code} ${this.id}\r\n${ready()}`;
		};

		const after = /^AFTER (\d+)\.(\d+) (.*)$/.exec(text);
		const statement = after ? after[3] : text;
		const lacks = after && (Number(after[1]) > (this.log.at(-1)?.term ?? this.term) || Number(after[2]) > this.log.length);
		const [verb, ...words] = statement.split(' ');
		if (session.status === 'E' && verb !== 'ROLLBACK' && verb !== 'COMMIT') {
			return fail('MALFORMED');
		}

		switch (verb) {
			case 'STATUS': {
				return `ROW ${this.role} ${this.term} ${this.position} 0 0 ${this.#busy} ${this.#sockets.size}\r\nCOMPLETE -\r\n${ready()}`;
			}

			case 'STEPDOWN': {
				if (this.role === 'primary' && this.term < Number(words[0])) {
					this.stepDown(this.database.leader);
				}

				return `ROW ${this.role} ${this.term} ${this.position} 0 0 ${this.#busy} ${this.#sockets.size}\r\nCOMPLETE -\r\n${ready()}`;
			}

			case 'SET': {
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'RESET': {
				session.prepared.clear();
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'PREPARE': {
				session.prepared.set(words[0], words[1]);
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'BEGIN': {
				session.isReadOnly = words[0] === 'READ';
				if (!session.isReadOnly && this.role !== 'primary') {
					return fail('READONLY');
				}

				if (lacks) {
					return fail('LAGGING');
				}

				session.status = 'T';
				session.writes = [];
				return `COMPLETE -\r\n${ready()}`;
			}

			case 'ROLLBACK': {
				session.status = 'I';
				session.writes = [];
				return `COMPLETE -\r\n${ready()}`;
			}

			default:
		}

		const isExecute = verb === 'EXECUTE';
		const kind = isExecute ? session.prepared.get(words[0]) : verb;
		if (kind === undefined) {
			return fail('NOSTMT');
		}

		if (!['READ', 'WRITE', 'COMMIT'].includes(kind)) {
			return fail('MALFORMED');
		}

		const isWrite = kind === 'WRITE';
		if (this.role !== 'primary' && (isWrite || (kind === 'COMMIT' && session.writes.length > 0) || (session.status === 'T' && !session.isReadOnly && kind !== 'COMMIT'))) {
			return fail('READONLY');
		}

		if (lacks) {
			return fail('LAGGING');
		}

		if (!(await this.#work())) {
			return fail('BUSY', false);
		}

		if (!this.isRunning) {
			return undefined;
		}

		const proof = () => `COMPLETE ${randomBytes(8).toString('hex')}\r\n${ready()}`;
		const [item, ...data] = isExecute ? words.slice(1) : words;
		this.ran.push({id: first, text: statement, at: performance.now()});
		if (kind === 'READ') {
			return `${this.readRows(item).map(row => `ROW ${row}\r\n`).join('')}${proof()}`;
		}

		if (isWrite && session.status === 'T') {
			session.writes.push({id: first, item, data: data.join(' ')});
			return proof();
		}

		const writes = isWrite ? [{id: first, item, data: data.join(' ')}] : session.writes;
		session.status = 'I';
		session.writes = [];
		if (writes.length > 0) {
			await this.append(writes);
		}

		return this.isRunning ? proof() : undefined;
	}
}
