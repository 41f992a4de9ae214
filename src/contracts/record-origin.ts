/**
Where a record of used tokens comes from: the slot of the instance that wrote it, at the version that the record covers. Whoever knows that
version of the slot, or a later one, knows all that the record stands for.
*/
import {
	type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';

export type RecordOrigin = {
	readonly counter: CounterId;
	/** Version of the slot when the record was written; all that the instance knew of other slots was known with it. */
	readonly version: number;
	readonly dataCentre: DataCentreId | undefined;
};

/** What the store has recorded of a program whose account is lost. */
export type RestoredRecord = {
	readonly program: ProgramId;
	readonly recorded: Tokens;
	/** Wall-clock time at which the record expires. */
	readonly until: Milliseconds;
	/** The part of the record that no instance, other than the one that wrote it, is known to have granted. */
	readonly unaccounted: Tokens;
	readonly retention: Milliseconds;
	/** Absent in a record of an earlier build. */
	readonly origin?: RecordOrigin | undefined;
};
