/**
 * Returns how many replicas must report their log position before the most advanced of them may be promoted.
 *
 * A commit that was replicated to `synchronousReplicas` of them is held by at least one of any
 * `replicas - synchronousReplicas + 1`.
 *
 * @param replicas - Number of replicas of the group.
 * @param synchronousReplicas - Number of replicas that hold each acknowledged commit; 0 if a promotion may lose commits.
 */
export function getCandidateQuorum(replicas: number, synchronousReplicas: number): number {
	return synchronousReplicas === 0 ? 1 : Math.max(1, replicas - synchronousReplicas + 1);
}
