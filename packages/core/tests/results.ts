import {type Result} from 'neverthrow';
import {type Verdict} from '../src/index.js';

/** Returns the value of a result that must be successful. */
export async function unwrapValue<Value>(result: Promise<Result<Value, unknown>>): Promise<Value> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

/** Returns the verdict of a result that must be an error. */
export async function unwrapVerdict(result: Promise<Result<unknown, {readonly verdict: Verdict}>>): Promise<Verdict> {
	const settled = await result;
	return settled._unsafeUnwrapErr().verdict;
}

/** Returns whether a result is an error. */
export async function isError(result: Promise<Result<unknown, unknown>>): Promise<boolean> {
	const settled = await result;
	return settled.isErr();
}

/** Returns the error of a result that must be one. */
export async function unwrapError<Failure>(result: Promise<Result<unknown, Failure>>): Promise<Failure> {
	const settled = await result;
	return settled._unsafeUnwrapErr();
}
