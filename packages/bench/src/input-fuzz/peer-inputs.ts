import {encodeFrame} from '@tarragonstack/core';
import {PeerMessageKind} from '@tarragonstack/daemon';
import {serialize} from 'pg-protocol';
import {type SeededRandom} from '../load/seeded-random.js';
import {InputClass} from './input-class.js';
import {createRandomBytes, mutateBytes, mutateStructure} from './mutation.js';

/** Frame types of the protocol between hosts, as the daemon numbers them. */
enum FrameType {
	Hello = 0,
	Call = 1,
	Notify = 7,
}

const protocolVersion = 1;

/** Greatest length of a frame. */
const maximumFrameBytes = 1_048_576;

/** One connection to the peers' port. */
export type PeerInput = {
	readonly inputClass: InputClass;
	readonly chunks: readonly Buffer[];
};

/** What the bodies of messages refer to. */
export type PeerTarget = {
	/** Name of the peer that the fuzzer claims to be; the daemon must know it. */
	readonly peerName: string;
	readonly customer: string;
	readonly group: string;
	readonly instance: string;
};

/**
 * Creates the first frame of a link.
 *
 * @param peerName - Name of the peer.
 */
export function createHello(peerName: string): Buffer {
	return encodeFrame([FrameType.Hello, protocolVersion, peerName]);
}

/**
 * Creates an input for the peers' port. Heartbeats contain no records of hosts, because a daemon connects to the addresses
 * in them.
 *
 * @param random - Source of random numbers.
 * @param target - Names that the daemon knows.
 */
export function createPeerInput(random: SeededRandom, target: PeerTarget): PeerInput {
	const hello = createHello(target.peerName);
	const calls = Array.from({length: 1 + random.integer(6)}, (_, index) => createCall(random, target, index + 1));
	const inputFactories: ReadonlyArray<() => PeerInput> = [
		() => ({inputClass: InputClass.PeerRandomBytes, chunks: [createRandomBytes(random, 2000)]}),
		() => ({inputClass: InputClass.PeerMutatedHello, chunks: [mutateHello(random, target.peerName)]}),
		() => ({inputClass: InputClass.PeerMutatedFrames, chunks: [hello, mutateBytes(random, Buffer.concat(calls.map(call => encodeFrame(call))))]}),
		() => ({inputClass: InputClass.PeerMutatedBodies, chunks: [hello, ...calls.map(call => encodeFrame(mutateCall(random, call)))]}),
		() => ({inputClass: InputClass.PeerHostileEncoding, chunks: [hello, createHostileFrame(random)]}),
	];
	return inputFactories[random.integer(inputFactories.length)]!();
}

function createCall(random: SeededRandom, target: PeerTarget, identifier: number): unknown[] {
	const {group, instance, customer} = target;
	const bodies: ReadonlyArray<readonly [PeerMessageKind, unknown]> = [
		[PeerMessageKind.Heartbeat, [1, 1, 1, []]],
		[PeerMessageKind.ConfigurationQuery, {base: random.integer(3)}],
		[PeerMessageKind.ReadIndex, {group, timeoutMilliseconds: 50}],
		// A well-formed claim about a real group is believed: peers are authenticated. docs/fleet-proofs.md lists it as open.
		[PeerMessageKind.PrimaryChanged, {group: 'no-such-group', primary: {instance, term: 0}}],
		[PeerMessageKind.CancelRequest, {identifier: 'fuzz'}],
		[PeerMessageKind.AbandonTransaction, {identifier: 'fuzz'}],
		[PeerMessageKind.SubmitRequest, {
			requestIdentifier: `fuzz-${random.integer(1_000_000)}`,
			customer,
			rank: 'least',
			group,
			upstream: instance,
			kind: 'read',
			messages: serialize.query('SELECT id FROM visits WHERE id = \'a\''),
			hiddenParseCompletes: [],
			timeoutMilliseconds: 100,
			deadlineMilliseconds: 100,
			targetMilliseconds: 100,
			repeatable: false,
		}],
	];
	const [kind, body] = bodies[random.integer(bodies.length)]!;
	return random.integer(4) === 0 ? [FrameType.Notify, kind, body] : [FrameType.Call, identifier, kind, body, 65_536];
}

/** Changes the bytes or the values of a hello. */
function mutateHello(random: SeededRandom, peerName: string): Buffer {
	return random.integer(2) === 0
		? mutateBytes(random, createHello(peerName))
		: encodeFrame(mutateStructure(random, [FrameType.Hello, protocolVersion, peerName]));
}

/** Changes the body in most cases, otherwise the frame. */
function mutateCall(random: SeededRandom, call: readonly unknown[]): unknown {
	const bodyIndex = call[0] === FrameType.Call ? 3 : 2;
	return random.integer(4) === 0 ? mutateStructure(random, call) : call.with(bodyIndex, mutateStructure(random, call[bodyIndex]));
}

/** Creates a frame whose CBOR claims great lengths, nests deeply or uses the extensions of the library. */
function createHostileFrame(random: SeededRandom): Buffer {
	const bodyFactories: ReadonlyArray<() => Buffer> = [
		// Lists in lists.
		() => Buffer.alloc(maximumFrameBytes, 0x81),
		// A list, a map, a byte string and a text of 2^32 - 1 elements, and a list of 2^53 elements.
		() => Buffer.from('9affffffff', 'hex'),
		() => Buffer.from('baffffffff', 'hex'),
		() => Buffer.from('5affffffff', 'hex'),
		() => Buffer.from('7affffffff', 'hex'),
		() => Buffer.from('9b0020000000000000', 'hex'),
		// Lists in lists that each claim 65,535 elements.
		() => Buffer.from('9a0000ffff'.repeat(1 + random.integer(400)), 'hex'),
		// Tags: big numbers, typed arrays, shared references, records, packed values, regular expressions, errors.
		() => Buffer.concat([Buffer.from([0xC2, 0x5A, 0, 0x0F, 0xFF, 0]), Buffer.alloc(1_048_320, 0xFF)]),
		() => Buffer.concat([Buffer.from([0xD8, random.integer(256)]), createRandomBytes(random, 60)]),
		() => Buffer.concat([Buffer.from([0xD9, random.integer(256), random.integer(256)]), createRandomBytes(random, 60)]),
		() => Buffer.from('d81c81d81d00', 'hex'),
		() => Buffer.concat([Buffer.from('d9dff083', 'hex'), createRandomBytes(random, 60)]),
		() => Buffer.from('a1695f5f70726f746f5f5fa16161f5', 'hex'),
	];
	const body = bodyFactories[random.integer(bodyFactories.length)]!();
	const header = Buffer.alloc(4);
	header.writeUInt32BE(random.integer(8) === 0 ? 0xFF_FF_FF_FF : body.length);
	return Buffer.concat([header, body]);
}
