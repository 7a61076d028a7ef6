/**
 * Returns how many replicas must report their position before the most advanced of them may be promoted.
 *
 * A commit that waited for `synchronousReplicas` of them is held by one of any `replicas - synchronousReplicas + 1`.
 *
 * @param replicas - Replicas of the group.
 * @param synchronousReplicas - Replicas that hold each acknowledged commit; 0 if a promotion may lose commits.
 */
export function getCandidateQuorum(replicas: number, synchronousReplicas: number): number {
	return synchronousReplicas === 0 ? 1 : Math.max(1, replicas - synchronousReplicas + 1);
}
