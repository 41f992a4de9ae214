/**
Token-time model of a model engine: continuous batching with priorities and a limited prefix cache.
It decides which sequences advance and what a step costs; time itself passes in the engine stand-in.
*/

export type Sequence = {
	readonly id: string;
	readonly program: string;
	/** Smaller is more urgent. */
	readonly priority: number;
	readonly promptTokens: number;
	/** Index of the first token that this sequence generates. */
	readonly first: number;
	/** Index behind the last token. */
	readonly end: number;
	readonly finish: 'stop' | 'length';
	readonly tag: string;
	readonly tokens: string[];
	cached: number;
	prefillLeft: number;
	state: 'waiting' | 'running' | 'done' | 'cancelled';
	readonly listeners: Set<() => void>;
};

export type BatchOptions = {
	/** Sequences that advance together. */
	readonly batchSize: number;
	/** Tokens that the prefix cache holds. */
	readonly cacheTokens: number;
	/** Prompt tokens computed in one step. */
	readonly prefillPerStep: number;
};

export type CacheEvent = {
	readonly kind: 'stored' | 'evicted' | 'released';
	readonly owner: string;
	readonly tokens: number;
	/** Wall-clock time since the epoch, in ms. */
	readonly at: number;
};

export type Batch = {
	readonly add: (sequence: Sequence) => void;
	readonly cancel: (id: string) => boolean;
	/** Advances every running sequence by one step. Returns those that changed. */
	readonly step: () => readonly Sequence[];
	readonly isIdle: () => boolean;
	readonly load: () => number;
	readonly running: () => number;
	readonly sequence: (id: string) => Sequence | undefined;
	readonly prefixes: () => ReadonlyMap<string, number>;
	readonly release: (owner: string) => void;
	readonly store: (owner: string, tokens: number) => void;
	readonly events: () => readonly CacheEvent[];
	/** Prompt tokens that were computed, and those of them that had been computed here before. */
	readonly work: () => {readonly computed: number; readonly found: number};
	readonly clear: () => void;
};

/** Creates an idle engine with an empty cache. */
export function createBatch(options: BatchOptions): Batch {
	const sequences = new Map<string, Sequence>();
	let waiting: Sequence[] = [];
	let running: Sequence[] = [];
	const cache = new Map<string, number>();
	const events: CacheEvent[] = [];
	let computed = 0;
	let found = 0;

	function note(kind: CacheEvent['kind'], owner: string, tokens: number): void {
		events.push({
			kind, owner, tokens, at: Date.now(),
		});
	}

	function evict(): void {
		let total = [...cache.values()].reduce((sum, tokens) => sum + tokens, 0);
		const busy = new Set(running.map(sequence => sequence.program));
		for (const [owner, tokens] of cache) {
			if (total <= options.cacheTokens) {
				return;
			}

			if (!busy.has(owner)) {
				cache.delete(owner);
				note('evicted', owner, tokens);
				total -= tokens;
			}
		}
	}

	function store(owner: string, tokens: number): void {
		const known = cache.get(owner) ?? 0;
		cache.delete(owner);
		cache.set(owner, Math.max(known, tokens));
		note('stored', owner, tokens);
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
			next.prefillLeft = next.promptTokens - next.cached;
			found += next.cached;
			computed += next.prefillLeft;
			store(next.program, next.promptTokens);
			running.push(next);
		}
	}

	function advance(sequence: Sequence): void {
		if (sequence.prefillLeft > 0) {
			sequence.prefillLeft = Math.max(0, sequence.prefillLeft - options.prefillPerStep);
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
				note('released', owner, tokens);
			}
		},
		store,
		events: () => events,
		work: () => ({computed, found}),
		clear() {
			sequences.clear();
			waiting = [];
			running = [];
			cache.clear();
		},
	};
}
