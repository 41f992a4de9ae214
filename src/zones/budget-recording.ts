/**
Records that a coordinator writes of what a program may have used: before a call is granted, and when it learns of tokens that no record covers.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type ReservationRequest} from '../contracts/reservation.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetEvent} from './budget-event.js';
import {type BudgetRecord} from './budget-records.js';
import {type RecordWriter} from './record-writer.js';
import {withTimeout} from './with-timeout.js';

/** Timeout of a write to the store, after which a call may proceed without the record. */
const recordTimeoutMs = 150;

/**
Lifetime of a record, as a multiple of the program's retention, and the remainder below which it is renewed. A program may
return within its retention after its last call, which ends some seconds after it was granted.
*/
const recordLifetime = 2;
const renewalRemainder = 1.25;

export type BudgetRecording = {
	/** Used tokens of a program in a pending write to the store; zero if there is none. */
	readonly pending: (program: ProgramId) => Tokens;
	/** Writes a record that outlives the program's retention. Resolves to whether it is durable. */
	readonly write: (record: Omit<BudgetRecord, 'origin'>) => Promise<boolean>;
	/** Whether the store may drop the record before the program's retention has passed since this call. */
	readonly isExpiring: (request: ReservationRequest) => boolean;
	/** Writes a record for a call and waits for the store up to a timeout. Resolves to whether the call may proceed. */
	readonly record: (request: ReservationRequest, upTo: Tokens) => Promise<boolean>;
};

export type BudgetRecordingOptions = {
	readonly ledger: TokenLedger;
	readonly writer: Pick<RecordWriter, 'write'>;
	readonly clock: Clock;
	/** Called when the account has changed, since the record is durable. */
	readonly markDirty: (program: ProgramId) => void;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** Creates the recording of one coordinator. */
export function createBudgetRecording({ledger, writer, clock, markDirty, onEvent}: BudgetRecordingOptions): BudgetRecording {
	const pendingRecords = new Map<ProgramId, Tokens>();
	const pending = (program: ProgramId) => pendingRecords.get(program) ?? as<Tokens>(0);

	async function write({program, used, retention}: Omit<BudgetRecord, 'origin'>): Promise<boolean> {
		const lifetime = as<Milliseconds>(retention * recordLifetime);
		const until = as<Milliseconds>(clock.wall() + lifetime);
		pendingRecords.set(program, as<Tokens>(Math.max(used, pending(program))));
		const isWritten = await writer.write({
			program, used, retention: lifetime, origin: ledger.originOfRecord(program),
		});
		if (pendingRecords.get(program) === used) {
			pendingRecords.delete(program);
		}

		if (isWritten) {
			ledger.markRecorded(program, used, until);
			markDirty(program);
		}

		return isWritten;
	}

	return {
		pending,
		write,
		isExpiring: ({program, retention}) => ledger.recordedUntil(program) - clock.wall() < retention * renewalRemainder,
		async record(request, upTo) {
			const writing = write({program: request.program, used: upTo, retention: request.retention});
			const isInTime = await withTimeout(clock, recordTimeoutMs, writing) ?? false;
			if (!isInTime) {
				onEvent({kind: 'unrecorded', request: request.attempt, program: request.program});
			}

			return isInTime || ledger.isWithinUnrecordedLimit(request);
		},
	};
}
