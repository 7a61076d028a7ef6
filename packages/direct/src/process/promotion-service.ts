import {type Result} from 'neverthrow';

/** Answer to a promotion order. */
export enum PromotionAnswer {
	/** The instance becomes the primary, or already is the primary. */
	Accepted = 'accepted',
	/** The instance is not running. */
	InstanceNotRunning = 'instance-not-running',
}

/** Order to promote an instance. */
export type PromotionOrder = {
	readonly group: string;
	readonly instance: string;
	/** Host that issues the order. */
	readonly holder: string;
	readonly fencingToken: number;
};

/** Service of the platform that promotes instances. */
export type PromotionService = {
	/**
	 * Orders a promotion.
	 *
	 * @param order - Promotion order.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 * @returns The answer, or an error message if there was none; the order may have taken effect nevertheless.
	 */
	promote(order: PromotionOrder, timeoutMilliseconds: number): Promise<Result<PromotionAnswer, string>>;
};
