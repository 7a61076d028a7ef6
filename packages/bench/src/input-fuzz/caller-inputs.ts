import {serialize} from 'pg-protocol';
import {type SeededRandom} from '../load/seeded-random.js';
import {InputClass} from './input-class.js';
import {createRandomBytes, mutateBytes} from './mutation.js';

const queryTexts = [
	'SELECT id FROM visits WHERE id = \'a\'',
	'INSERT INTO visits (id) VALUES (\'fuzz\')',
	'BEGIN',
	'COMMIT',
	'ROLLBACK',
	'SET tarragon.rank = \'urgent\'',
	'SHOW tarragon.position',
	'COPY visits FROM STDIN',
	'SELECT \'unterminated',
	'/*rank=\'first\',idempotency_key=\'%zz\'*/ SELECT 1',
	'SELECT $tag$ $1 $tag$; ; -- \0 comment',
	'('.repeat(20_000),
];

/** Credentials of a client. */
export type CallerCredentials = {
	readonly user: string;
	readonly password: string;
	readonly database: string;
};

/** Input for one connection to the client port: chunks of bytes that are sent in sequence. */
export type CallerInput = {
	readonly inputClass: InputClass;
	readonly chunks: readonly Buffer[];
};

/**
 * Creates an input for the client port.
 *
 * @param random - Random number generator.
 * @param credentials - Valid credentials.
 */
export function createCallerInput(random: SeededRandom, credentials: CallerCredentials): CallerInput {
	const {user, password, database} = credentials;
	const startupMessage = serialize.startup({user, database});
	const passwordMessage = serialize.password(password);
	const sessionMessages = Buffer.concat(Array.from({length: 1 + random.integer(8)}, () => createMessage(random)));
	const inputFactories: ReadonlyArray<() => CallerInput> = [
		() => ({inputClass: InputClass.CallerRandomBytes, chunks: [createRandomBytes(random, 2000)]}),
		() => ({inputClass: InputClass.CallerMutatedStart, chunks: [mutateBytes(random, random.integer(4) === 0 ? serialize.requestSsl() : startupMessage), mutateBytes(random, passwordMessage)]}),
		() => ({inputClass: InputClass.CallerMutatedSession, chunks: [startupMessage, passwordMessage, mutateBytes(random, sessionMessages), serialize.sync()]}),
	];
	return inputFactories[random.integer(inputFactories.length)]!();
}

function createMessage(random: SeededRandom): Buffer {
	const text = queryTexts[random.integer(queryTexts.length)]!;
	const name = ['', 'a'][random.integer(2)]!;
	const messageFactories: ReadonlyArray<() => Buffer> = [
		() => serialize.query(text),
		() => serialize.parse({name, text}),
		() => serialize.bind({portal: name, statement: name, values: ['a', null]}),
		() => serialize.describe({type: 'S', name}),
		() => serialize.execute({portal: name, rows: random.integer(3)}),
		() => serialize.close({type: 'P', name}),
		() => serialize.flush(),
		() => serialize.sync(),
	];
	return messageFactories[random.integer(messageFactories.length)]!();
}
