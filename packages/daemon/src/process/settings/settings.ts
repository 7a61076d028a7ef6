import {z} from 'zod';

/** Names of the scheduling policies. Experiments compare the other policies with the default. */
const schedulingPolicyNames = ['refund-per-slot-time', 'first-in-first-out', 'strict-priority'] as const;

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,62}$/v, 'a name of lower-case letters, digits, dots and hyphens');
const port = z.number().int().min(0).max(65_535);
const peerAddress = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'an IPv4 address and a port');

/** Schema of the settings file of `tarragond`; `docs/settings.md` describes the fields. */
export const settingsSchema = z.strictObject({
	host: z.strictObject({name, availabilityZone: name, region: name}),
	/** IP address of the listeners and source address of outgoing connections. */
	address: z.ipv4(),
	callers: z.strictObject({
		port,
		tls: z.strictObject({certificateFile: z.string(), keyFile: z.string()}).optional(),
	}),
	peers: z.strictObject({
		port,
		/** Hosts that are contacted in addition to those of the membership list, which may be unavailable. */
		seeds: z.array(z.strictObject({name, availabilityZone: name, peerAddress})).default([]),
		tls: z.strictObject({certificateFile: z.string(), keyFile: z.string(), authorityFile: z.string()}).optional(),
	}),
	admin: z.strictObject({port}),
	keyValueService: z.strictObject({url: z.url()}),
	membershipList: z.strictObject({url: z.url()}),
	/** Credentials with which the host logs in to all instances. */
	upstreams: z.strictObject({user: z.string().min(1), password: z.string()}),
	metrics: z.strictObject({address: z.ipv4(), port}).optional(),
	schedulingPolicy: z.enum(schedulingPolicyNames).default('refund-per-slot-time'),
	/** Addresses under which others reach this host if they differ from those of the listeners. */
	advertised: z.strictObject({peers: peerAddress.optional(), admin: peerAddress.optional()}).default({}),
	/** Time that open transactions get to finish during a graceful shutdown, in milliseconds. */
	shutdownGraceMilliseconds: z.number().int().nonnegative().max(600_000).default(10_000),
});

/** Settings of `tarragond`. */
export type Settings = z.infer<typeof settingsSchema>;
