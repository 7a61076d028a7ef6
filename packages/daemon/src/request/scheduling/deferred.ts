/** Promise together with the function that resolves it. */
export type Deferred = {
	readonly promise: Promise<void>;
	readonly resolve: () => void;
};

/** Creates a deferred promise. Node.js 20 has no `Promise.withResolvers`. */
export function createDeferred(): Deferred {
	let resolve!: () => void;
	const promise = new Promise<void>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}
