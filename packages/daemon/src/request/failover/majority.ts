/**
 * Returns the number of members that form a majority of a group.
 *
 * @param members - Number of members of the group.
 */
export function getMajority(members: number): number {
	return Math.floor(members / 2) + 1;
}
