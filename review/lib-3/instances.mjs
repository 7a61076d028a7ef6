/* eslint camelcase: off, complexity: off, no-void: off, unicorn/prefer-switch: off -- names of the pages, and one handler for each message of the wire */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:net';
import {now} from './store.mjs';

const handshakeMilliseconds = 12;
const workMilliseconds = 5;
const heartbeatMilliseconds = 1200;
const selfStepDownMilliseconds = 1000;

const formatPosition = ({term, number}) => `${term}.${number}`;

/** Stand-in of one database instance, as PROTOCOL states it. */
export class Instance {
	/** Whether replication does not reach the instance (`replica_lag` with `deaf`). */
	isDeaf = false;
	isDraining = false;
	isRunning = true;
	term = 1;
	log = [];
	#group;
	#server;
	#sockets = new Set();
	#sequence = 0;
	#heartbeat;
	#born = Date.now();

	constructor(group, id, zone, isPrimary) {
		this.#group = group;
		this.id = id;
		this.zone = zone;
		this.isPrimary = isPrimary;
	}

	async listen() {
		this.#server = createServer(socket => {
			this.#serve(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
		this.report();
		this.#heartbeat = setInterval(() => {
			this.report();
		}, heartbeatMilliseconds);
	}

	/** Writes the entry of the instance. */
	report() {
		this.#sequence++;
		this.#group.store.put(`servers/${this.id}`, {
			backend: this.#group.name, address: this.address, zone: this.zone, config_version: 1, slots: this.#group.slots, state: this.isDraining ? 'draining' : 'ready',
			cold_remaining_ms: 0, seq: this.#sequence, born: this.#born, db_role: this.isPrimary ? 'primary' : 'replica',
		});
	}

	/** The process ends at once. Its entry expires after three intervals. */
	crash() {
		this.isRunning = false;
		clearInterval(this.#heartbeat);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		setTimeout(() => {
			this.#group.store.delete(`servers/${this.id}`);
		}, heartbeatMilliseconds * 3).unref();
	}

	close() {
		clearInterval(this.#heartbeat);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	get position() {
		return this.log.at(-1) ?? {term: 0, number: 0};
	}

	contains({term, number}) {
		return number === 0 || this.log[number - 1]?.term === term;
	}

	/** Takes over the log of a primary, and rolls back what that one does not have. */
	follow(primary) {
		this.isPrimary = false;
		this.log = [...primary.log];
		this.term = primary.term;
		this.report();
	}

	#serve(socket) {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		const session = {isStarted: false, status: 'I', isReadOnly: false, writes: [], prepared: new Map(), values: new Map(), term: 0};
		let text = '';
		let isBusy = false;
		const lines = [];
		const work = async () => {
			isBusy = true;
			while (lines.length > 0 && !socket.destroyed) {
				const answer = await this.#handle(lines.shift(), session, socket);
				if (answer !== undefined && this.isRunning && !socket.destroyed) {
					socket.write(answer, 'latin1');
				}
			}

			isBusy = false;
		};

		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			for (let end = text.indexOf('\r\n'); end !== -1; end = text.indexOf('\r\n')) {
				lines.push(text.slice(0, end));
				text = text.slice(end + 2);
			}

			if (!isBusy) {
				void work();
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async #handle(line, session, socket) {
		const [word, ...fields] = line.split(' ');
		if (word === 'STARTUP') {
			await this.#group.sleep(handshakeMilliseconds);
			const [service, , id] = fields;
			if (service !== this.#group.name || (id !== undefined && id !== this.id)) {
				socket.end(`ERROR WRONGNODE ${this.id}\r\n`);
				return undefined;
			}

			session.isStarted = true;
			return `READY I ${formatPosition(this.position)}\r\n`;
		}

		if (word === 'TERMINATE') {
			socket.end();
			return undefined;
		}

		const [id, ...rest] = fields;
		const outcome = await this.#run(id, rest.join(' '), session);
		const rows = (outcome.rows ?? []).map(row => `ROW ${row}\r\n`).join('');
		const result = outcome.error === undefined ? `COMPLETE ${outcome.proof ?? '-'}\r\n` : `ERROR ${outcome.error}\r\n`;
		return `${rows}${result}READY ${session.status} ${formatPosition(this.position)}\r\n`;
	}

	async #run(id, fullText, session) {
		let text = fullText;
		if (text.startsWith('AFTER ')) {
			const [, position] = text.split(' ');
			const [term, number] = position.split('.').map(Number);
			text = text.slice(7 + position.length);
			if (!this.contains({term, number})) {
				return {error: `LAGGING ${formatPosition(this.position)}`};
			}
		}

		const [word, first, ...more] = text.split(' ');
		if (session.status === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT') {
			return {error: 'MALFORMED the transaction failed'};
		}

		switch (word) {
			case 'STATUS': {
				return {rows: [this.#status]};
			}

			case 'STEPDOWN': {
				if (this.isPrimary && this.term < Number(first)) {
					this.#group.stepDown(this);
				}

				return {rows: [this.#status]};
			}

			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return {};
			}

			case 'SET': {
				session.values.set(first, more.join(' '));
				return {};
			}

			case 'PREPARE': {
				session.prepared.set(first, {isWrite: more[0] === 'WRITE'});
				return {};
			}

			case 'DEALLOC': {
				session.prepared.delete(first);
				return {};
			}

			case 'BEGIN': {
				if (first !== 'READ' && !this.isPrimary) {
					return {error: `READONLY ${this.id}`};
				}

				Object.assign(session, {status: 'T', isReadOnly: first === 'READ', writes: [], term: this.term});
				return {};
			}

			case 'ROLLBACK': {
				Object.assign(session, {status: 'I', writes: []});
				return {};
			}

			case 'COMMIT': {
				return this.#commit(id, session);
			}

			case 'READ': {
				return this.#access(id, {item: first}, session);
			}

			case 'WRITE': {
				return this.#access(id, {item: first, data: more.join(' ')}, session);
			}

			case 'EXECUTE': {
				const prepared = session.prepared.get(first);
				if (!prepared) {
					return {error: `NOSTMT ${first}`};
				}

				return this.#access(id, {item: more[0], ...(prepared.isWrite && {data: more.slice(1).join(' ')})}, session);
			}

			default: {
				return {error: 'MALFORMED unknown statement'};
			}
		}
	}

	async #access(id, {item, data}, session) {
		const isLost = session.status === 'T' && !session.isReadOnly && (!this.isPrimary || session.term !== this.term);
		if (isLost || (data !== undefined && !this.isPrimary)) {
			session.status = session.status === 'T' ? 'E' : 'I';
			return {error: `READONLY ${this.id}`};
		}

		await this.#group.sleep(workMilliseconds);
		if (!this.isRunning) {
			return {error: 'FAILED'};
		}

		if (data === undefined) {
			const value = this.log.flatMap(({writes}) => writes).findLast(write => write.item === item)?.data ?? 'none';
			return {rows: [value], proof: this.#prove(id, `READ ${item}`)};
		}

		if (session.status === 'T') {
			session.writes.push({item, data});
			return {proof: this.#prove(id, `WRITE ${item}`)};
		}

		this.#append(id, [{item, data}]);
		return {proof: this.#prove(id, `WRITE ${item}`)};
	}

	async #commit(id, session) {
		const {writes, term, status} = session;
		Object.assign(session, {status: 'I', writes: []});
		if (status !== 'T') {
			return {error: 'ABORTED'};
		}

		if (writes.length > 0) {
			if (!this.isPrimary || term !== this.term) {
				return {error: `READONLY ${this.id}`};
			}

			await this.#group.sleep(workMilliseconds);
			this.#append(id, writes);
		}

		return {proof: this.#prove(id, 'COMMIT')};
	}

	#append(id, writes) {
		const entry = {term: this.term, number: this.log.length + 1, id, writes, instance: this.id, at: now()};
		this.log.push(entry);
		this.#group.handleCommit(this, entry);
	}

	#prove(id, text) {
		this.#group.record('run', {instance: this.id, id, text, position: formatPosition(this.position)});
		return `${this.term}.${randomBytes(6).toString('hex')}`;
	}

	get #status() {
		return `${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${formatPosition(this.position)} ${this.term} 0 0 ${this.#sockets.size}`;
	}
}

/** One service: a primary and its replicas. */
export class Group {
	slots = 2;
	lagMilliseconds = 8;
	promoteMilliseconds = 1000;
	/** Promotions that took effect. */
	promotions = [];
	instances = [];
	/** Instance that led the latest term. */
	#leader;

	constructor({name, store, record}) {
		this.name = name;
		this.store = store;
		this.record = record;
	}

	async start(zones, primaryZone) {
		for (const zone of zones) {
			const instance = new Instance(this, `i-${randomBytes(5).toString('hex')}`, zone, zone === primaryZone);
			this.instances.push(instance);
			if (instance.isPrimary) {
				this.#leader = instance;
			}
		}

		await Promise.all(this.instances.map(async instance => instance.listen()));
	}

	get primary() {
		return this.#leader;
	}

	async sleep(milliseconds) {
		return new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}

	/** Sends a commit to the replicas. */
	handleCommit(from, entry) {
		this.record('commit', {group: this.name, instance: from.id, id: entry.id, position: formatPosition(entry)});
		setTimeout(() => {
			this.#replicate(from);
		}, this.lagMilliseconds).unref();
	}

	#replicate(from) {
		if (!from.isPrimary || !from.isRunning || from !== this.#leader) {
			return;
		}

		for (const replica of this.instances) {
			if (replica !== from && replica.isRunning && !replica.isPrimary && !replica.isDeaf) {
				replica.log = [...from.log];
				replica.term = from.term;
			}
		}
	}

	/** Lets the replicas receive again. */
	endDeafness() {
		for (const instance of this.instances) {
			instance.isDeaf = false;
		}

		this.#replicate(this.#leader);
	}

	/** Carries out an order; returns whether the instance is running. */
	promote(id) {
		const instance = this.instances.find(candidate => candidate.id === id);
		if (!instance?.isRunning) {
			return false;
		}

		if (instance !== this.#leader) {
			setTimeout(() => {
				this.#takeOver(instance);
			}, this.promoteMilliseconds);
		}

		return true;
	}

	#takeOver(instance) {
		if (!instance.isRunning || instance === this.#leader) {
			return;
		}

		const old = this.#leader;
		instance.term = Math.max(...this.instances.map(({term}) => term)) + 1;
		instance.isPrimary = true;
		this.#leader = instance;
		this.promotions.push({id: instance.id, at: now(), term: instance.term});
		this.record('promoted', {group: this.name, instance: instance.id, term: instance.term, position: formatPosition(instance.position), old: old.id});
		instance.report();
		for (const replica of this.instances) {
			if (replica !== instance && replica !== old && replica.isRunning) {
				replica.follow(instance);
			}
		}

		setTimeout(() => {
			this.stepDown(old);
		}, selfStepDownMilliseconds);
	}

	/** Makes a replaced primary a replica. */
	stepDown(instance) {
		if (instance !== this.#leader && instance.isRunning && instance.isPrimary) {
			instance.follow(this.#leader);
		}
	}

	close() {
		for (const instance of this.instances) {
			instance.close();
		}
	}
}
