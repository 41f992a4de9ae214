/**
A shard: the home of some of a data centre's programs. It opens and closes programs, runs the calls
of each program in order and within its budget, and serves the state that its journal has recorded.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Budget, type Spend} from '../contracts/budget.js';
import {type Call, type CallEvent, type Position} from '../contracts/call.js';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure, failure, type FailureCode} from '../contracts/failure.js';
import {digestOf} from '../contracts/fingerprint.js';
import {
	createProgramId, type CustomerId, type EndpointId, type Home, type IdempotencyKey, type Milliseconds,
	type ProgramId,
} from '../contracts/id.js';
import {
	expiryOf, applyRecord, type Program, type Programs, turnCount, type Turn,
} from '../contracts/program.js';
import {type CloseReason, type JournalRecord} from '../contracts/record.js';
import {type Executor} from './executor.js';
import {type Journal} from './journal.js';
import {createRunningCalls} from './running-calls.js';
import {replayTranscript, type Transcript} from './transcript.js';

/** Time for which the outcome of an ended program can still be read, in ms. */
export const endedProgramRetentionMs = 600_000;

/** Maximum number of running and queued calls of one program. */
const maximumPendingCalls = 64;

/** State of a program that is exposed to its callers. */
export type ProgramView = {
	readonly id: ProgramId;
	readonly parent?: ProgramId;
	readonly status: Program['status'];
	readonly turns: number;
	readonly budget: Budget;
	readonly spent: Spend;
	readonly reserved: Spend;
	readonly expiresAt: Milliseconds;
};

export type ProgramOpening = {
	readonly customer: CustomerId;
	readonly budget: Budget;
	readonly parent?: ProgramId;
};

/** Identifies an earlier call. */
export type CallReference = {
	readonly program: ProgramId;
	readonly customer: CustomerId;
	readonly key: IdempotencyKey;
};

export type Shard = {
	readonly home: Home;
	readonly open: (opening: ProgramOpening) => Promise<Result<ProgramView, Failure>>;
	/** Runs a call, or follows the existing call with the same key. */
	readonly call: (call: Call, position: Position, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	/** Follows an earlier call. */
	readonly follow: (target: CallReference, position: Position, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	readonly end: (program: ProgramId, customer: CustomerId, closing: CloseReason) => Promise<Result<ProgramView, Failure>>;
	readonly view: (program: ProgramId, customer: CustomerId) => Result<ProgramView, Failure>;
	readonly history: (program: ProgramId, customer: CustomerId) => Result<readonly Turn[], Failure>;
	/** Selects the programs that are open and may still use engine memory. */
	readonly living: (programs: readonly ProgramId[]) => readonly ProgramId[];
	/** Ends expired programs and deletes those past their retention. */
	readonly sweep: () => void;
	/** Stops accepting calls and resolves when none is running or queued any more. */
	readonly drain: () => Promise<void>;
	readonly programs: () => number;
	readonly running: () => number;
	readonly journal: Journal;
};

export type ShardOptions = {
	readonly home: Home;
	readonly programs: Programs;
	readonly journal: Journal;
	readonly executor: Executor;
	readonly clock: Clock;
	readonly random: Random;
	readonly signal: AbortSignal;
	/** Releases the engine memory of a program that ended. */
	readonly release: (program: ProgramId, holders: readonly EndpointId[]) => void;
};

/** Creates a shard from the programs that its journal has replayed. */
export function createShard(options: ShardOptions): Shard {
	const {home, programs, journal, clock, signal} = options;
	const running = createRunningCalls(options);
	const pendingRecords = new Set<Promise<unknown>>();
	let isDraining = false;

	function refusal(code: FailureCode, message: string): Failure {
		return failure(code, message, {step: 'admit', peer: 'home'});
	}

	/** A program of another customer is reported as not found, like one that does not exist. */
	function find(id: ProgramId, customer: CustomerId): Result<Program, Failure> {
		const program = programs.get(id);
		return program?.customer === customer ? ok(program) : err(refusal('not-found', `No program ${id}`));
	}

	function viewOf(program: Program): ProgramView {
		return {
			id: program.id,
			...(program.parent !== undefined && {parent: program.parent}),
			status: program.status,
			turns: turnCount(program),
			budget: program.account.budget,
			spent: program.account.spent(),
			reserved: program.account.reserved(),
			expiresAt: expiryOf(program),
		};
	}

	async function record(entry: JournalRecord): Promise<Result<void, Failure>> {
		applyRecord(programs, entry);
		const {durable} = journal.append([entry]);
		pendingRecords.add(durable);
		const recorded = await durable;
		pendingRecords.delete(durable);
		return recorded.map(() => undefined);
	}

	function checkOpening(opening: ProgramOpening): Result<void, Failure> {
		if (isDraining || signal.aborted) {
			return err(refusal('leaving', 'The home of the program is moving to another instance'));
		}

		if (opening.parent === undefined) {
			return ok();
		}

		const parent = find(opening.parent, opening.customer);
		if (parent.isErr()) {
			return err(parent.error);
		}

		return parent.value.status === 'open' ? ok() : err(refusal('conflict', `Program ${opening.parent} is ${parent.value.status}`));
	}

	async function open(opening: ProgramOpening): Promise<Result<ProgramView, Failure>> {
		const checked = checkOpening(opening);
		if (checked.isErr()) {
			return err(checked.error);
		}

		const parent = opening.parent === undefined ? undefined : programs.get(opening.parent);
		const id = createProgramId(home, options.random.unique());
		const recorded = await record({
			kind: 'opened',
			program: id,
			customer: opening.customer,
			...(opening.parent !== undefined && {parent: opening.parent}),
			budget: parent?.account.budget ?? opening.budget,
			openedAt: parent?.openedAt ?? clock.wall(),
		});
		return recorded.andThen(() => find(id, opening.customer).map(found => viewOf(found)));
	}

	function checkCall(program: Program, call: Call): Result<void, Failure> {
		if (isDraining || signal.aborted) {
			return err(refusal('leaving', 'The home of the program is moving to another instance'));
		}

		if (program.status !== 'open') {
			return err(refusal('conflict', `Program ${program.id} is ${program.status}`));
		}

		if (call.turn !== undefined && call.turn !== turnCount(program)) {
			return err(refusal('conflict', `Program ${program.id} has had ${turnCount(program)} calls, not ${call.turn}`));
		}

		if (running.count(program.id) >= maximumPendingCalls) {
			return err(refusal('overloaded', `Program ${program.id} has ${maximumPendingCalls} calls running or queued`));
		}

		return ok();
	}

	function existingTranscript(program: Program, key: IdempotencyKey, digest: string | undefined): Result<Transcript | undefined, Failure> {
		const current = running.callOf(program.id, key);
		const state = program.calls.get(key);
		const recorded = current?.digest ?? state?.digest;
		if (digest !== undefined && recorded !== undefined && recorded !== digest) {
			return err(refusal('conflict', `Key ${key} was used for another request`));
		}

		if (current) {
			return ok(current.transcript);
		}

		// A call that certainly did not run may be retried with the same key.
		const isFinal = state?.kind === 'settled' && (state.outcome.kind !== 'not-run' || digest === undefined);
		return ok(isFinal ? replayTranscript(state) : undefined);
	}

	function transcriptFor(program: Program, call: Call): Result<Transcript, Failure> {
		const digest = digestOf(call.route, call.request);
		const known = existingTranscript(program, call.key, digest);
		if (known.isErr()) {
			return err(known.error);
		}

		if (known.value) {
			return ok(known.value);
		}

		if (program.calls.get(call.key)?.kind === 'intended') {
			return ok(recover(program, call.key, digest));
		}

		return checkCall(program, call).map(() => running.start(program, call.key, digest, async execution => options.executor.run(execution, call, digest)));
	}

	/** Recovers a call whose intent was recorded by an earlier owner. */
	function recover(program: Program, key: IdempotencyKey, digest: string): Transcript {
		return running.start(program, key, digest, async execution => options.executor.recover(execution, key));
	}

	async function * readTranscript(transcript: Result<Transcript, Failure>, position: Position, reader: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		if (transcript.isErr()) {
			yield {kind: 'refused', failure: transcript.error};
			return;
		}

		yield * transcript.value.read(position, reader);
	}

	function transcriptOfCall({program: id, customer, key}: CallReference): Result<Transcript, Failure> {
		return find(id, customer).andThen(program => {
			const state = program.calls.get(key);
			const known = existingTranscript(program, key, undefined);
			if (known.isOk() && !known.value && state?.kind === 'intended') {
				return ok(recover(program, key, state.digest));
			}

			return known.andThen(transcript => transcript ? ok(transcript) : err(refusal('not-found', `No call with key ${key}`)));
		});
	}

	function withDescendants(program: Program): Program[] {
		const members = [program];
		for (const candidate of programs.values()) {
			if (candidate.parent !== undefined && members.some(member => member.id === candidate.parent)) {
				members.push(candidate);
			}
		}

		return members;
	}

	async function endProgram(program: Program, closing: CloseReason): Promise<Result<void, Failure>> {
		if (program.status !== 'open') {
			return ok();
		}

		const recorded = record({kind: 'closed', program: program.id, closing});
		program.endedAt = clock.wall();
		running.abort(program.id, closing);
		options.release(program.id, [...program.holders]);
		return recorded;
	}

	async function end(id: ProgramId, customer: CustomerId, closing: CloseReason): Promise<Result<ProgramView, Failure>> {
		const found = find(id, customer);
		if (found.isErr()) {
			return err(found.error);
		}

		for (const ended of await Promise.all(withDescendants(found.value).map(async member => endProgram(member, closing)))) {
			if (ended.isErr()) {
				return err(ended.error);
			}
		}

		return ok(viewOf(found.value));
	}

	function sweep(): void {
		const now = clock.wall();
		for (const program of programs.values()) {
			if (program.status === 'open' && now >= expiryOf(program)) {
				void endProgram(program, 'expired');
			}

			const endedAt = program.endedAt ?? expiryOf(program);
			if (program.status !== 'open' && now - endedAt > endedProgramRetentionMs) {
				programs.delete(program.id);
			}
		}
	}

	async function drain(): Promise<void> {
		isDraining = true;
		await running.onIdle();
		await Promise.all(pendingRecords);
	}

	return {
		home,
		open,
		call: (call, position, reader) => readTranscript(find(call.program, call.customer).andThen(program => transcriptFor(program, call)), position, reader),
		follow: (target, position, reader) => readTranscript(transcriptOfCall(target), position, reader),
		end,
		view: (program, customer) => find(program, customer).map(found => viewOf(found)),
		history: (program, customer) => find(program, customer).map(found => found.history),
		living: ids => ids.filter(id => programs.get(id)?.status === 'open'),
		sweep,
		drain,
		programs: () => programs.size,
		running: running.total,
		journal,
	};
}
