import {encodeFrame} from '@tarragonstack/core';
import {PeerMessageKind} from '@tarragonstack/daemon';
import {serialize} from 'pg-protocol';
import {type SeededRandom} from '../load/seeded-random.js';
import {InputClass} from './input-class.js';
import {createRandomBytes, mutateBytes, mutateStructure} from './mutation.js';

/** Frame types of the protocol between hosts, with the numbers that the daemon uses. */
enum FrameType {
	Hello = 0,
	Call = 1,
	Notify = 7,
}

const protocolVersion = 1;

/** Maximum length of a frame body. */
const maximumFrameBytes = 1_048_576;

/** Input for one connection to the peer port: chunks of bytes that are sent in sequence. */
export type PeerInput = {
	readonly inputClass: InputClass;
	readonly chunks: readonly Buffer[];
};

/** Names that the generated messages refer to. */
export type PeerTarget = {
	/** Name of the peer that the fuzzer impersonates; the daemon must know it. */
	readonly peerName: string;
	readonly customer: string;
	readonly group: string;
	readonly instance: string;
};

/**
 * Creates the hello, which is the first frame of a peer connection.
 *
 * @param peerName - Name of the peer.
 */
export function createHello(peerName: string): Buffer {
	return encodeFrame([FrameType.Hello, protocolVersion, peerName]);
}

/**
 * Creates an input for the peer port. Heartbeats contain no host records, because the daemon connects to the addresses in such
 * records.
 *
 * @param random - Random number generator.
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
		// Names an unknown group, because the daemon trusts well-formed claims of authenticated peers about existing groups.
		// docs/fleet-proofs.md lists this as open.
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

/** Creates a hello with mutated bytes or mutated values. */
function mutateHello(random: SeededRandom, peerName: string): Buffer {
	return random.integer(2) === 0
		? mutateBytes(random, createHello(peerName))
		: encodeFrame(mutateStructure(random, [FrameType.Hello, protocolVersion, peerName]));
}

/** Mutates the body of a message in three of four cases, otherwise the whole frame. */
function mutateCall(random: SeededRandom, call: readonly unknown[]): unknown {
	const bodyIndex = call[0] === FrameType.Call ? 3 : 2;
	return random.integer(4) === 0 ? mutateStructure(random, call) : call.with(bodyIndex, mutateStructure(random, call[bodyIndex]));
}

/** Creates a frame whose CBOR declares huge lengths, is deeply nested or uses extensions of the CBOR library. */
function createHostileFrame(random: SeededRandom): Buffer {
	const bodyFactories: ReadonlyArray<() => Buffer> = [
		// Deeply nested arrays.
		() => Buffer.alloc(maximumFrameBytes, 0x81),
		// An array, a map, a byte string and a text string with a declared length of 2^32 - 1, and an array of 2^53 elements.
		() => Buffer.from('9affffffff', 'hex'),
		() => Buffer.from('baffffffff', 'hex'),
		() => Buffer.from('5affffffff', 'hex'),
		() => Buffer.from('7affffffff', 'hex'),
		() => Buffer.from('9b0020000000000000', 'hex'),
		// Nested arrays, each with a declared length of 65,535.
		() => Buffer.from('9a0000ffff'.repeat(1 + random.integer(400)), 'hex'),
		// Tags: bignums, typed arrays, shared references, records, packed values, regular expressions and errors.
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
