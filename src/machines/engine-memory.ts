/**
Engine memory: releases the memory that ended programs occupy on engines, and periodically compares the programs
that engines hold with those that are still open, because a release may have been missed.
*/
import {type Clock} from '../contracts/clock.js';
import {type Dispatch} from '../contracts/attempt.js';
import {
	as, type EndpointId, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type BackEnd} from './back-end.js';
import {type Fleet} from './fleet.js';

export const memorySweepIntervalMs = 10_000;

const releaseRetryDelayMs = 500;
const releaseAttempts = 3;

export type EngineMemory = {
	/** Frees the memory of a program on the engines that served it. Failures are left to the sweep. */
	readonly release: (program: ProgramId, holders: readonly EndpointId[]) => void;
	/** Sweeps the engines that this instance is responsible for until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	readonly sweep: () => Promise<void>;
	/** Number of releases that engines have confirmed. */
	readonly released: () => number;
};

export type EngineMemoryOptions = {
	readonly fleet: Fleet;
	readonly dispatch: Dispatch;
	readonly clock: Clock;
	readonly isResponsible: (backEnd: BackEnd) => boolean;
	/** Selects the programs that are known to have ended. */
	readonly ended: (programs: readonly ProgramId[]) => Promise<readonly ProgramId[]>;
};

/** Creates the engine memory management of an instance. */
export function createEngineMemory(options: EngineMemoryOptions): EngineMemory {
	const {fleet, dispatch, clock} = options;
	let released = 0;

	async function releaseAt(backEnd: BackEnd, program: ProgramId): Promise<void> {
		for (let attempt = 0; attempt < releaseAttempts; attempt++) {
			if (await dispatch.release(backEnd.endpoint, program)) {
				released++;
				backEnd.clearCached(program);
				return;
			}

			await clock.sleep(as<Milliseconds>(releaseRetryDelayMs));
		}
	}

	function release(program: ProgramId, holders: readonly EndpointId[]): void {
		for (const holder of holders) {
			const backEnd = fleet.backEnd(holder);
			if (backEnd?.kind === 'engine') {
				void releaseAt(backEnd, program);
			}
		}
	}

	async function sweepEngine(backEnd: BackEnd): Promise<void> {
		const held = await dispatch.cachedPrograms(backEnd.endpoint);
		const ended = held ? await options.ended(held) : [];
		await Promise.all(ended.map(async program => releaseAt(backEnd, program)));
	}

	async function sweep(): Promise<void> {
		const engines = fleet.backEnds().filter(backEnd => backEnd.kind === 'engine' && options.isResponsible(backEnd));
		await Promise.all(engines.map(async backEnd => sweepEngine(backEnd)));
	}

	return {
		release,
		sweep,
		released: () => released,
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(memorySweepIntervalMs), signal);
				await sweep();
			}
		},
	};
}
