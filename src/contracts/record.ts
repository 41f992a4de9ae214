/**
Records of a shard's journal. Replaying them in order rebuilds every program of the shard.
*/
import {type Budget, type Spend} from './budget.js';
import {type Request} from './call.js';
import {
	type AttemptId, type CallId, type CustomerId, type EndpointId, type FencingNumber, type IdempotencyKey,
	type Incarnation, type InstanceId, type Milliseconds, type Nonce, type ProgramId, type RouteName,
} from './id.js';
import {type Outcome} from './outcome.js';

export type CloseReason = 'closed' | 'cancelled' | 'expired';

export type JournalRecord
	= | {
		readonly kind: 'opened';
		readonly program: ProgramId;
		readonly customer: CustomerId;
		readonly parent?: ProgramId;
		readonly budget: Budget;
		/** Wall-clock time since the epoch. */
		readonly openedAt: Milliseconds;
	}
	| {
		/** Written before a request is sent to an endpoint. */
		readonly kind: 'intent';
		readonly program: ProgramId;
		readonly call: CallId;
		readonly key: IdempotencyKey;
		readonly route: RouteName;
		readonly digest: string;
		readonly request: Request;
		readonly attempt: AttemptId;
		/** First attempt at the answer that this attempt starts or continues. */
		readonly stream: AttemptId;
		/** Tokens of that answer that earlier attempts produced. */
		readonly prefix: readonly string[];
		readonly endpoint: EndpointId;
		readonly repeatable: boolean;
		readonly reservation: Spend;
	}
	| {
		readonly kind: 'settled';
		readonly program: ProgramId;
		readonly call: CallId;
		readonly key: IdempotencyKey;
		readonly digest: string;
		readonly stream: AttemptId;
		readonly outcome: Outcome;
		readonly used: Spend;
	}
	| {
		readonly kind: 'closed';
		readonly program: ProgramId;
		readonly closing: CloseReason;
	};

/** Records that are committed together, in one slot of the ring. */
export type Batch = {
	readonly sequence: number;
	readonly epoch: FencingNumber;
	readonly owner: InstanceId;
	readonly incarnation: Incarnation;
	/** Identifies the writer's own batch when the response to a write was lost. */
	readonly nonce: Nonce;
	readonly records: readonly JournalRecord[];
};
