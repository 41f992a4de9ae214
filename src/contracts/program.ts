/**
A program: a chain of dependent calls with one history and one budget. Its state is derived from the
journal; replaying the same records always gives the same program.
*/
import {type Account, createAccount, type Spend} from './budget.js';
import {type Request} from './call.js';
import {
	as, type AttemptId, type CallId, type CustomerId, type EndpointId, type IdempotencyKey, type Milliseconds,
	type ProgramId, type RouteName, type Tokens,
} from './id.js';
import {type Answer, type Outcome} from './outcome.js';
import {type CloseReason, type JournalRecord} from './record.js';

/** State of one call according to the journal. */
export type CallState
	= | {
		readonly kind: 'intended';
		readonly call: CallId;
		readonly route: RouteName;
		readonly digest: string;
		readonly request: Request;
		readonly attempt: AttemptId;
		readonly stream: AttemptId;
		readonly prefix: readonly string[];
		readonly endpoint: EndpointId;
		readonly repeatable: boolean;
		readonly reservation: Spend;
	}
	| {readonly kind: 'settled'; readonly call: CallId; readonly digest: string; readonly stream: AttemptId; readonly outcome: Outcome};

/** One completed call in the history of a program. */
export type Turn = {
	readonly call: CallId;
	readonly route: RouteName;
	readonly request: Request;
	readonly answer: Answer;
};

export type Program = {
	readonly id: ProgramId;
	readonly customer: CustomerId;
	readonly parent?: ProgramId;
	readonly account: Account;
	/** Wall-clock time since the epoch. */
	readonly openedAt: Milliseconds;
	readonly history: Turn[];
	readonly calls: Map<IdempotencyKey, CallState>;
	/** Endpoints that may have the program's prompts cached. */
	readonly holders: Set<EndpointId>;
	/** All journal records of the program, in order; replaying them rebuilds it. */
	readonly records: JournalRecord[];
	status: 'open' | CloseReason;
	/** Wall-clock time since the epoch at which this instance saw the program end. */
	endedAt?: Milliseconds;
};

export type Programs = Map<ProgramId, Program>;

/** Wall-clock time since the epoch at which the program expires. */
export function expiryOf(program: Program): Milliseconds {
	return as<Milliseconds>(program.openedAt + program.account.budget.duration);
}

/** Number of calls of the program that ran or may have run. */
export function turnCount(program: Program): number {
	return program.calls.size;
}

function open(programs: Programs, record: Extract<JournalRecord, {kind: 'opened'}>): void {
	if (programs.has(record.program)) {
		return;
	}

	const parent = record.parent === undefined ? undefined : programs.get(record.parent);
	programs.set(record.program, {
		id: record.program,
		customer: record.customer,
		...(record.parent !== undefined && {parent: record.parent}),
		account: parent?.account ?? createAccount(record.budget),
		openedAt: record.openedAt,
		history: [],
		calls: new Map(),
		holders: new Set(),
		records: [record],
		status: 'open',
	});
}

function intend(program: Program, record: Extract<JournalRecord, {kind: 'intent'}>): void {
	const {kind: _kind, program: _program, key, ...rest} = record;
	program.calls.set(key, {kind: 'intended', ...rest});
	program.holders.add(record.endpoint);
}

function settle(program: Program, record: Extract<JournalRecord, {kind: 'settled'}>): void {
	const previous = program.calls.get(record.key);
	program.calls.set(record.key, {
		kind: 'settled', call: record.call, digest: record.digest, stream: record.stream, outcome: record.outcome,
	});
	if (previous?.kind === 'intended' && record.outcome.kind === 'completed') {
		program.history.push({
			call: record.call, route: previous.route, request: previous.request, answer: record.outcome.answer,
		});
	}
}

/** Applies one record to the programs of a shard. Records of evicted programs are ignored. */
export function applyRecord(programs: Programs, record: JournalRecord): void {
	if (record.kind === 'opened') {
		open(programs, record);
		return;
	}

	const program = programs.get(record.program);
	if (!program) {
		return;
	}

	program.records.push(record);
	switch (record.kind) {
		case 'intent': {
			intend(program, record);
			return;
		}

		case 'settled': {
			settle(program, record);
			return;
		}

		case 'closed': {
			program.status = record.closing;
		}
	}
}

/** Applies a record that is replayed from the journal, including its effect on the budget. */
export function replayRecord(programs: Programs, record: JournalRecord): void {
	const program = programs.get(record.program);
	if (program && (record.kind === 'intent' || record.kind === 'settled')) {
		// A reservation without a recorded settlement counts as spent in full.
		const previous = program.calls.get(record.key);
		if (previous?.kind === 'intended') {
			program.account.restore(negate(previous.reservation));
		}

		program.account.restore(record.kind === 'intent' ? record.reservation : record.used);
	}

	applyRecord(programs, record);
}

function negate(spend: Spend): Spend {
	return {tokens: as<Tokens>(-spend.tokens), calls: -spend.calls};
}

/** Whether a record has already been applied, or no longer can be because its program was evicted. */
export function isApplied(programs: Programs, record: JournalRecord): boolean {
	const program = programs.get(record.program);
	if (!program) {
		return record.kind !== 'opened';
	}

	switch (record.kind) {
		case 'opened': {
			return true;
		}

		case 'intent': {
			return program.records.some(known => known.kind === 'intent' && known.attempt === record.attempt);
		}

		case 'settled': {
			const state = program.calls.get(record.key);
			return state?.kind === 'settled' && state.call === record.call;
		}

		case 'closed': {
			return program.status !== 'open';
		}
	}
}
