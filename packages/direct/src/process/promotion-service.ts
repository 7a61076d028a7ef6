import {type Result} from 'neverthrow';

/** Answers to the order of a promotion. */
export enum PromotionAnswer {
	/** The instance becomes the primary, or already is. */
	Accepted = 'accepted',
	/** The instance is not running. */
	InstanceNotRunning = 'instance-not-running',
}

/** Order of a promotion. */
export type PromotionOrder = {
	readonly group: string;
	readonly instance: string;
	/** Host that gives the order. */
	readonly holder: string;
	readonly fencingToken: number;
};

/** Part of the platform that replaces primaries. */
export type PromotionService = {
	/**
	 * Orders a promotion.
	 *
	 * @param order - Group and instance.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 * @returns The answer, or a message if there was none; the promotion may then have been ordered.
	 */
	promote(order: PromotionOrder, timeoutMilliseconds: number): Promise<Result<PromotionAnswer, string>>;
};
