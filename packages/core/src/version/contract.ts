import {z} from 'zod';
import {AcknowledgementMode} from '../request/acknowledgement-mode.js';
import {Rank} from '../request/rank.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,62}$/v, 'a name of lower-case letters, digits, dots and hyphens');

/** Schema of the terms that a contract states for one rank. */
export const rankTermsSchema = z.strictObject({
	/** Time after which a response counts as late. */
	targetLatencyMilliseconds: z.number().positive().max(600_000),
	/** Time after which a request times out. Must not be less than the target latency. */
	timeoutMilliseconds: z.number().positive().max(600_000),
	/** Maximum age of the data that a read returns; 0 requires current data. */
	maximumStalenessMilliseconds: z.number().nonnegative().max(86_400_000),
	/** Refund for one late response, in the currency unit of the contract. */
	lateRefund: z.number().nonnegative(),
	/** Refund for one refused request. Defaults to `lateRefund`. */
	refusedRefund: z.number().nonnegative().optional(),
	/** Share of slot time that is reserved for the rank while it has waiting requests. */
	floorShare: z.number().min(0).max(1),
	acknowledgement: z.enum(AcknowledgementMode).default(AcknowledgementMode.Replicated),
	/** Whether a request without the option `repeatable` may be repeated after an unknown outcome. */
	repeatable: z.boolean().default(false),
}).refine(terms => terms.timeoutMilliseconds >= terms.targetLatencyMilliseconds, {
	error: 'must be at least targetLatencyMilliseconds',
	path: ['timeoutMilliseconds'],
});

/** Schema of a rule that assigns a rank to requests that do not specify one. All fields that are set must match. */
export const rankRuleSchema = z.strictObject({
	rank: z.enum(Rank),
	applicationName: z.string().optional(),
	user: z.string().optional(),
	/** Regular expression that must match the text of the statement. */
	statementPattern: z.string().max(500).optional(),
});

/** Schema of the contract with one customer. */
export const contractSchema = z.strictObject({
	customer: name,
	users: z.array(z.strictObject({
		name: z.string().min(1).max(63),
		/** SHA-256 of the password, in hexadecimal digits. */
		passwordSha256: z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits'),
	})).min(1),
	/** Names of the groups that the customer may use. */
	groups: z.array(name).min(1),
	/** Weight among customers that share a group. */
	weight: z.number().positive().default(1),
	defaultRank: z.enum(Rank),
	ranks: z.strictObject({
		[Rank.Urgent]: rankTermsSchema,
		[Rank.Middle]: rankTermsSchema,
		[Rank.Least]: rankTermsSchema,
	}),
	rules: z.array(rankRuleSchema).default([]),
	limits: z.strictObject({
		/** Maximum number of caller connections per host. */
		connectionsPerHost: z.number().int().positive().default(10_000),
	}).prefault({}),
}).refine(contract => Object.values(contract.ranks).reduce((sum, terms) => sum + terms.floorShare, 0) <= 1, {
	error: 'the floor shares of the ranks must not add up to more than 1',
	path: ['ranks'],
});

/** Terms that a contract states for one rank. */
export type RankTerms = z.infer<typeof rankTermsSchema>;

/** Rule that assigns a rank to requests. */
export type RankRule = z.infer<typeof rankRuleSchema>;

/** Contract with one customer. */
export type Contract = z.infer<typeof contractSchema>;
