/**
Events of the repair of an archive, for logs and metrics.
*/
import {type InstanceId, type Milliseconds} from '../../contracts/id.js';

/** An archive that may hold turns that this one lost, and why that is not known. */
export type Doubt = {readonly archive: InstanceId; readonly reason: string};

export type ArchiveRepairEvent
	/** No repair can show what was lost, as copies at this archive alone are enough. */
	= | {readonly kind: 'impossible'}
		| {readonly kind: 'started'}
	/** A pass over the turns of the others has ended. It is the last one unless there are doubts or turns that could not be copied. */
		| {readonly kind: 'passed'; readonly copied: number; readonly remaining: number; readonly doubts: readonly Doubt[]}
		| {readonly kind: 'archives-unavailable'; readonly reason: string}
		| {readonly kind: 'finished'; readonly copied: number; readonly isRecorded: boolean; readonly took: Milliseconds};
