/**
Model of an inference engine, counted in tokens and steps: continuous batching with priorities and a prefix cache of
limited size. It decides which sequences advance in a step; the engine stand-in runs the steps in real time.
*/

/** One request for a completion: its prompt and the tokens generated so far. */
export type Sequence = {
	readonly id: string;
	/** Program that the request belongs to; it owns the cached prefix. */
	readonly program: string;
	/** Sequences with the lowest value start first. */
	readonly priority: number;
	readonly promptTokens: number;
	/** Index in the answer of the first token to generate; above zero if the sequence continues a partial answer. */
	readonly first: number;
	/** Index after the last token to generate. */
	readonly end: number;
	/** Finish reason reported at the end. */
	readonly finish: 'stop' | 'length';
	/** Mark in the text of each token that identifies the request. */
	readonly tag: string;
	/** Text of the tokens generated so far. */
	readonly tokens: string[];
	/** Prompt tokens found in the prefix cache. */
	cached: number;
	/** Prompt tokens that are still to be computed. */
	prefillRemaining: number;
	state: 'waiting' | 'running' | 'done' | 'cancelled';
	/** Called after each step in which the sequence advanced. */
	readonly listeners: Set<() => void>;
};

export type BatchOptions = {
	/** Largest number of sequences that run at once. */
	readonly batchSize: number;
	/** Capacity of the prefix cache, in tokens. */
	readonly cacheTokens: number;
	/** Prompt tokens that a sequence computes in one step. */
	readonly prefillPerStep: number;
};

export type CacheEvent = {
	readonly kind: 'stored' | 'evicted' | 'released';
	/** Program whose prefix it is. */
	readonly owner: string;
	readonly tokens: number;
	/** Wall-clock time since the epoch, in ms. */
	readonly at: number;
};

export type Batch = {
	readonly add: (sequence: Sequence) => void;
	/** Returns false if the sequence is unknown or done. */
	readonly cancel: (id: string) => boolean;
	/** Starts waiting sequences while there is room and advances every running one by one step. Returns the sequences that advanced. */
	readonly step: () => readonly Sequence[];
	readonly isIdle: () => boolean;
	/** Number of sequences that wait or run. */
	readonly load: () => number;
	readonly running: () => number;
	readonly sequence: (id: string) => Sequence | undefined;
	/** Size of each cached prefix in tokens, by its owner. */
	readonly prefixes: () => ReadonlyMap<string, number>;
	/** Frees the prefix of an owner. */
	readonly release: (owner: string) => void;
	/**
	Stores a prefix for an owner or keeps its longer one. Evicts the least recently stored prefixes over capacity,
	except those of running sequences.
	*/
	readonly store: (owner: string, tokens: number) => void;
	readonly events: () => readonly CacheEvent[];
	/** Prompt tokens that were computed, and those found in the prefix cache instead. */
	readonly prefillWork: () => {readonly computed: number; readonly found: number};
	/** Drops all sequences and the cache, as a crash does. */
	readonly clear: () => void;
};

/** Creates the model of an idle engine with an empty cache. */
export function createBatch(options: BatchOptions): Batch {
	const sequences = new Map<string, Sequence>();
	let waiting: Sequence[] = [];
	let running: Sequence[] = [];
	const cache = new Map<string, number>();
	const events: CacheEvent[] = [];
	let computed = 0;
	let found = 0;

	function recordCacheEvent(kind: CacheEvent['kind'], owner: string, tokens: number): void {
		events.push({
			kind, owner, tokens, at: Date.now(),
		});
	}

	function evict(): void {
		let total = [...cache.values()].reduce((sum, tokens) => sum + tokens, 0);
		const runningPrograms = new Set(running.map(sequence => sequence.program));
		for (const [owner, tokens] of cache) {
			if (total <= options.cacheTokens) {
				return;
			}

			if (!runningPrograms.has(owner)) {
				cache.delete(owner);
				recordCacheEvent('evicted', owner, tokens);
				total -= tokens;
			}
		}
	}

	function store(owner: string, tokens: number): void {
		const previousTokens = cache.get(owner) ?? 0;
		cache.delete(owner);
		cache.set(owner, Math.max(previousTokens, tokens));
		recordCacheEvent('stored', owner, tokens);
		evict();
	}

	function admit(): void {
		waiting.sort((left, right) => left.priority - right.priority);
		while (running.length < options.batchSize) {
			const next = waiting.shift();
			if (!next) {
				return;
			}

			next.state = 'running';
			next.cached = Math.min(cache.get(next.program) ?? 0, next.promptTokens);
			next.prefillRemaining = next.promptTokens - next.cached;
			found += next.cached;
			computed += next.prefillRemaining;
			store(next.program, next.promptTokens);
			running.push(next);
		}
	}

	function advance(sequence: Sequence): void {
		if (sequence.prefillRemaining > 0) {
			sequence.prefillRemaining = Math.max(0, sequence.prefillRemaining - options.prefillPerStep);
			return;
		}

		const index = sequence.first + sequence.tokens.length;
		if (index < sequence.end) {
			sequence.tokens.push(` ${sequence.tag}:${index}`);
		}

		if (sequence.first + sequence.tokens.length >= sequence.end) {
			sequence.state = 'done';
			store(sequence.program, sequence.promptTokens + sequence.tokens.length);
		}
	}

	return {
		add(sequence) {
			sequences.set(sequence.id, sequence);
			waiting.push(sequence);
		},
		cancel(id) {
			const sequence = sequences.get(id);
			if (!sequence || sequence.state === 'done') {
				return false;
			}

			sequence.state = 'cancelled';
			waiting = waiting.filter(other => other !== sequence);
			running = running.filter(other => other !== sequence);
			return true;
		},
		step() {
			admit();
			const advanced = running;
			for (const sequence of advanced) {
				advance(sequence);
			}

			running = running.filter(sequence => sequence.state === 'running');
			return advanced;
		},
		isIdle: () => waiting.length === 0 && running.length === 0,
		load: () => waiting.length + running.length,
		running: () => running.length,
		sequence: id => sequences.get(id),
		prefixes: () => cache,
		release(owner) {
			const tokens = cache.get(owner);
			if (tokens !== undefined) {
				cache.delete(owner);
				recordCacheEvent('released', owner, tokens);
			}
		},
		store,
		events: () => events,
		prefillWork: () => ({computed, found}),
		clear() {
			sequences.clear();
			waiting = [];
			running = [];
			cache.clear();
		},
	};
}
