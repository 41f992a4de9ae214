/**
Disk of a machine, as far as the turn store uses it. What was written outlasts the end of the process, but a loss of power
only once it was synced: until then each write may be there, missing or torn, and the name of a new file may disappear.
The promises never reject; they may stay pending for as long as the disk does not respond.
*/
import {type Result} from 'neverthrow';

/** `full`: there is no space left, but what is stored can be read. */
export type DiskFailure = {readonly kind: 'full' | 'failed'; readonly reason: string};

export type DiskResult<Value> = Promise<Result<Value, DiskFailure>>;

export type ListedFile = {readonly name: string; readonly bytes: number};

export type DiskFile = {
	/** Reads a range, into `target` if it is given; the result is shorter only where the file ends. */
	readonly read: (position: number, length: number, target?: Uint8Array) => DiskResult<Uint8Array>;
	/** Writes the parts one after the other; after a failure some of the bytes may have been written. */
	readonly write: (position: number, parts: readonly Uint8Array[]) => DiskResult<true>;
	/** Syncs everything that was written to the file so far. */
	readonly sync: () => DiskResult<true>;
	readonly close: () => Promise<void>;
};

export type Disk = {
	/** Files of a directory; none if there is no such directory. */
	readonly list: (directory: string) => DiskResult<readonly ListedFile[]>;
	/** Creates an empty file, and its directory if necessary. Fails if the file exists. */
	readonly create: (path: string) => DiskResult<DiskFile>;
	readonly open: (path: string) => DiskResult<DiskFile>;
	readonly remove: (path: string) => DiskResult<true>;
	/** Syncs the names of the files of a directory. */
	readonly syncDirectory: (directory: string) => DiskResult<true>;
};
