import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type InstanceGroupState} from '../process/instance-group-state.js';
import {type DeploymentConfiguration} from '../version/deployment-configuration.js';
import {type RoutedStatementRunner} from './limited-statement-runner.js';
import {type PinnedStatementRunner} from './pinned-statement-runner.js';
import {type StatementRecorder} from './statement-recorder.js';

/** Services shared by all sessions of a host. */
export type SessionServices = {
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Runs statements outside transactions and the first ones of transactions, within the limits of their workspaces. */
	readonly runner: RoutedStatementRunner;
	readonly pinnedRunner: PinnedStatementRunner;
	readonly recorder: StatementRecorder;
	/** Returns the configuration in force, or `undefined` before one is known. */
	getConfiguration(): DeploymentConfiguration | undefined;
	/** Returns a group, or `undefined` if no configuration names it. */
	getGroup(name: string): InstanceGroupState | undefined;
};
