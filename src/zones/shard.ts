/**
A shard: the home of a part of a data centre's programs. It opens and closes programs, keeps their
calls in order and their budgets, and answers for what its journal has recorded.
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

/** How long the outcome of an ended program can still be read, in ms. */
export const retentionMs = 600_000;

/** Calls of one program that may wait behind each other. */
const maximumWaitingCalls = 64;

/** What a caller may see of a program. */
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

/** A call that was made before. */
export type CallReference = {
	readonly program: ProgramId;
	readonly customer: CustomerId;
	readonly key: IdempotencyKey;
};

export type Shard = {
	readonly home: Home;
	readonly open: (opening: ProgramOpening) => Promise<Result<ProgramView, Failure>>;
	/** Runs a call, or follows the one that has the same key already. */
	readonly call: (call: Call, position: Position, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	/** Follows a call that was made before. */
	readonly follow: (target: CallReference, position: Position, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	readonly end: (program: ProgramId, customer: CustomerId, closing: CloseReason) => Promise<Result<ProgramView, Failure>>;
	readonly view: (program: ProgramId, customer: CustomerId) => Result<ProgramView, Failure>;
	readonly history: (program: ProgramId, customer: CustomerId) => Result<readonly Turn[], Failure>;
	/** Programs among those given that may still use engine memory. */
	readonly living: (programs: readonly ProgramId[]) => readonly ProgramId[];
	/** Ends programs whose time is over and forgets those that ended long ago. */
	readonly sweep: () => void;
	/** Stops taking calls and resolves when none is running any more. */
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
	/** Frees engine memory of a program that ended. */
	readonly release: (program: ProgramId, holders: readonly EndpointId[]) => void;
};

/** Creates a shard over programs that its journal has replayed. */
export function createShard(options: ShardOptions): Shard {
	const {home, programs, journal, clock, signal} = options;
	const running = createRunningCalls(options);
	const recording = new Set<Promise<unknown>>();
	let isDraining = false;

	function refuse(code: FailureCode, message: string): Failure {
		return failure(code, message, {step: 'admit', peer: 'home'});
	}

	/** A program of another customer answers as if it did not exist. */
	function find(id: ProgramId, customer: CustomerId): Result<Program, Failure> {
		const program = programs.get(id);
		return program?.customer === customer ? ok(program) : err(refuse('not-found', `No program ${id}`));
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
		recording.add(durable);
		const recorded = await durable;
		recording.delete(durable);
		return recorded.map(() => undefined);
	}

	function checkOpening(opening: ProgramOpening): Result<void, Failure> {
		if (isDraining || signal.aborted) {
			return err(refuse('leaving', 'The home of the program is moving'));
		}

		if (opening.parent === undefined) {
			return ok();
		}

		const parent = find(opening.parent, opening.customer);
		if (parent.isErr()) {
			return err(parent.error);
		}

		return parent.value.status === 'open' ? ok() : err(refuse('conflict', `Program ${opening.parent} is ${parent.value.status}`));
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
			return err(refuse('leaving', 'The home of the program is moving'));
		}

		if (program.status !== 'open') {
			return err(refuse('conflict', `Program ${program.id} is ${program.status}`));
		}

		if (call.turn !== undefined && call.turn !== turnCount(program)) {
			return err(refuse('conflict', `Program ${program.id} has had ${turnCount(program)} calls, not ${call.turn}`));
		}

		if (running.count(program.id) >= maximumWaitingCalls) {
			return err(refuse('overloaded', `Program ${program.id} has ${maximumWaitingCalls} calls waiting`));
		}

		return ok();
	}

	function knownTranscript(program: Program, key: IdempotencyKey, digest: string | undefined): Result<Transcript | undefined, Failure> {
		const current = running.callOf(program.id, key);
		const state = program.calls.get(key);
		const recorded = current?.digest ?? state?.digest;
		if (digest !== undefined && recorded !== undefined && recorded !== digest) {
			return err(refuse('conflict', `Key ${key} was used for another request`));
		}

		if (current) {
			return ok(current.transcript);
		}

		// A call that certainly did not run may be made again under its key.
		const isOver = state?.kind === 'settled' && (state.outcome.kind !== 'not-run' || digest === undefined);
		return ok(isOver ? replayTranscript(state) : undefined);
	}

	function obtain(program: Program, call: Call): Result<Transcript, Failure> {
		const digest = digestOf(call.route, call.request);
		const known = knownTranscript(program, call.key, digest);
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

	/** Continues a call whose intent was recorded by an earlier owner. */
	function recover(program: Program, key: IdempotencyKey, digest: string): Transcript {
		return running.start(program, key, digest, async execution => options.executor.recover(execution, key));
	}

	async function * deliver(transcript: Result<Transcript, Failure>, position: Position, reader: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		if (transcript.isErr()) {
			yield {kind: 'refused', failure: transcript.error};
			return;
		}

		yield * transcript.value.read(position, reader);
	}

	function followed({program: id, customer, key}: CallReference): Result<Transcript, Failure> {
		return find(id, customer).andThen(program => {
			const state = program.calls.get(key);
			const known = knownTranscript(program, key, undefined);
			if (known.isOk() && !known.value && state?.kind === 'intended') {
				return ok(recover(program, key, state.digest));
			}

			return known.andThen(transcript => transcript ? ok(transcript) : err(refuse('not-found', `No call with key ${key}`)));
		});
	}

	function familyOf(program: Program): Program[] {
		const members = [program];
		for (const candidate of programs.values()) {
			if (candidate.parent !== undefined && members.some(member => member.id === candidate.parent)) {
				members.push(candidate);
			}
		}

		return members;
	}

	async function endOne(program: Program, closing: CloseReason): Promise<Result<void, Failure>> {
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

		for (const ended of await Promise.all(familyOf(found.value).map(async member => endOne(member, closing)))) {
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
				void endOne(program, 'expired');
			}

			const endedAt = program.endedAt ?? expiryOf(program);
			if (program.status !== 'open' && now - endedAt > retentionMs) {
				programs.delete(program.id);
			}
		}
	}

	async function drain(): Promise<void> {
		isDraining = true;
		await running.onIdle();
		await Promise.all(recording);
	}

	return {
		home,
		open,
		call: (call, position, reader) => deliver(find(call.program, call.customer).andThen(program => obtain(program, call)), position, reader),
		follow: (target, position, reader) => deliver(followed(target), position, reader),
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
