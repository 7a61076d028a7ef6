/** Priority class of a request, from the most to the least urgent. */
export enum Rank {
	Urgent = 'urgent',
	Middle = 'middle',
	Least = 'least',
}

/** All ranks, ordered from the most to the least urgent. */
export const ranks: readonly Rank[] = [Rank.Urgent, Rank.Middle, Rank.Least];
