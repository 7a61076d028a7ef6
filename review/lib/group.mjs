/* eslint-disable @stylistic/curly-newline -- a script of the review, which runs outside of CI */
// Promotion in a group of instances (PROTOCOL: "Instances", "Singleton duties").

/** Time from the promote call until the instance leads, in milliseconds, as the pages state it. */
export const promoteMilliseconds = 1000;

/** Time for which an old primary that reaches the new one goes on, in milliseconds. */
const oldPrimaryMilliseconds = 1000;

export class Group {
	/** Effects of promotions: {at, id, term}. */
	leads = [];

	/** @param members - Instances; the first one is the primary. */
	constructor(members, record = () => {}) {
		this.members = members;
		this.record = record;
		this.leader = members[0];
		for (const member of members) {
			member.members = members;
			if (member !== this.leader) {
				member.follow(this.leader);
			}
		}
	}

	/** Handles a promote call; returns its status. */
	promote(id) {
		const chosen = this.members.find(member => member.id === id);
		if (!chosen || chosen.isGone) {
			return 409;
		}

		if (chosen !== this.leader) {
			setTimeout(() => this.#takeEffect(chosen), promoteMilliseconds);
		}

		return 200;
	}

	#takeEffect(chosen) {
		if (chosen === this.leader || chosen.isGone) {
			return;
		}

		const old = this.leader;
		const term = Math.max(...this.members.map(member => member.term)) + 1;
		this.leader = chosen;
		chosen.lead(term);
		this.leads.push({at: Date.now(), id: chosen.id, term});
		this.record({event: 'promotion takes effect', instance: chosen.id, term});
		for (const member of this.members) {
			if (member !== chosen && member !== old && !member.isGone) {
				member.follow(chosen);
			}
		}

		if (!old.isGone) {
			setTimeout(() => {
				if (this.leader === chosen) {
					old.follow(chosen);
					this.record({event: 'the old primary follows', instance: old.id});
				}
			}, oldPrimaryMilliseconds);
		}
	}
}
