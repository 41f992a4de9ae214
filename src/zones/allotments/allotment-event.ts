/**
Events of the allotments on one instance, for logs and metrics.
*/
import {type InstanceId, type Milliseconds} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type TenureId} from '../../machines/allotment-lease.js';

export type AllotmentEvent
	/** This instance begins to grant a workspace's allotment, with a level of its bucket that no other can have used within `undisputed`. */
	= | {readonly kind: 'allotment-held'; readonly workspace: WorkspaceName; readonly level: number; readonly undisputed: Milliseconds}
	/** Another instance handed its bucket to this one, or this one gave its bucket away. */
		| {readonly kind: 'allotment-received'; readonly workspace: WorkspaceName; readonly from: TenureId; readonly level: number}
		| {readonly kind: 'allotment-yielded'; readonly workspace: WorkspaceName; readonly to: InstanceId}
	/** The delegates did not renew the lease; `holder` is whom they voted for instead. */
		| {readonly kind: 'allotment-not-renewed'; readonly workspace: WorkspaceName; readonly holder: InstanceId | undefined}
	/** An instance that may coordinate the workspace did not answer. */
		| {readonly kind: 'allotment-unanswered'; readonly workspace: WorkspaceName; readonly instance: InstanceId}
	/** Requests that found no coordinator asked for permits from the slack. */
		| {readonly kind: 'allotment-slack'; readonly workspace: WorkspaceName; readonly asked: number; readonly granted: number};
