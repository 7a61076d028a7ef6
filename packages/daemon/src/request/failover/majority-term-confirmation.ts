import {type TimerService} from '@tarragonstack/core';
import {err} from 'neverthrow';
import {type ConfigurationStore} from '../../version/index.js';
import {type InstanceStatus} from '../group-view.js';
import {ConfirmationError, type ConfirmationOptions, type TermConfirmation} from '../term-confirmation.js';
import {GroupConfirmations} from './group-confirmations.js';
import {type InstanceControlDirectory} from './instance-control-directory.js';
import {type ConfirmationResult} from './pending-confirmation.js';

/** Dependencies of the term confirmation. */
export type MajorityTermConfirmationOptions = {
	readonly timerService: TimerService;
	readonly configuration: ConfigurationStore;
	readonly controls: InstanceControlDirectory;
	/** Receives the status of each response, to be recorded by the group monitor. */
	readonly onStatus?: (group: string, status: InstanceStatus) => void;
};

/**
 * Confirms a term through status requests to the members of the group. Works only on hosts that own a member, because
 * others have no control connections. The proof of correctness is given at `PendingConfirmation`.
 */
export class MajorityTermConfirmation implements TermConfirmation, Disposable {
	readonly #options: MajorityTermConfirmationOptions;
	readonly #groups = new Map<string, GroupConfirmations>();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: MajorityTermConfirmationOptions) {
		this.#options = options;
	}

	/** @inheritdoc */
	async confirm(group: string, primary: string, options: ConfirmationOptions): Promise<ConfirmationResult> {
		const confirmations = this.#getConfirmations(group);
		if (!confirmations) {
			return err(ConfirmationError.TimedOut);
		}

		return confirmations.members.includes(primary)
			? confirmations.confirm(primary, options)
			: err(ConfirmationError.Replaced);
	}

	[Symbol.dispose](): void {
		for (const confirmations of this.#groups.values()) {
			confirmations.close();
		}

		this.#groups.clear();
	}

	#getConfirmations(group: string): GroupConfirmations | undefined {
		const definition = this.#options.configuration.getCurrent()?.getGroup(group);
		if (!definition) {
			return undefined;
		}

		const members = definition.instances.map(instance => instance.name);
		const known = this.#groups.get(group);
		if (known?.members.join(' ') === members.join(' ')) {
			return known;
		}

		// Pending calls with the previous members complete or reach their own time limits.
		const created = new GroupConfirmations(members, {
			timerService: this.#options.timerService,
			getControl: instance => this.#options.controls.getControl(instance),
			onStatus: status => {
				this.#options.onStatus?.(group, status);
			},
		});
		this.#groups.set(group, created);
		return created;
	}
}
