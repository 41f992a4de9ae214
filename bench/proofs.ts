/**
Requirements that must always hold and failures that the system must survive, each with the tests that check it and a
mutation of the compiled code that removes the mechanism behind it, so that the tests must fail.
*/

/** A replacement in a compiled file that removes a mechanism. */
export type Mutation = {
	readonly file: string;
	readonly find: string;
	readonly replace: string;
};

export type Requirement = {
	readonly name: string;
	/** Parts of the titles of the tests that check it. */
	readonly tests: readonly string[];
	/** Removal of the mechanism, which `without` names; failures that come from outside of the code have none. */
	readonly mutation?: Mutation & {readonly without: string};
};

export const requirements: readonly Requirement[] = [
	{
		name: 'Calls of one program run in order',
		tests: ['concurrent calls of one program', 'its history grows in order'],
		mutation: {
			without: 'the queue of each program', file: 'src/zones/running-calls.js', find: 'new PQueue({ concurrency: 1 })', replace: 'new PQueue({ concurrency: 9 })',
		},
	},
	{
		name: 'A program\'s history is never lost',
		tests: [
			'the new owner has the complete history',
			'a turn acknowledged during an outage survives',
			'a new owner rebuilds every program',
			'random takeovers, outages and lost responses',
			'loses a committed batch',
		],
		mutation: {
			without: 'copies at a peer', file: 'src/zones/journal.js', find: 'return record.kind !== \'intent\' || record.repeatable;', replace: 'return false;',
		},
	},
	{
		name: 'A program\'s history is never shown to another customer',
		tests: ['is refused exactly like one that does not exist'],
		mutation: {
			without: 'the check of the customer', file: 'src/zones/shard.js', find: 'program?.customer === customer', replace: 'program !== undefined',
		},
	},
	{
		name: 'A program\'s budget holds',
		tests: ['concurrent sub-agents cannot overspend', 'a program that loops is stopped'],
		mutation: {
			without: 'reservations', file: 'src/contracts/budget.js', find: 'total.tokens > budget.tokens || total.calls > budget.calls', replace: 'false',
		},
	},
	{
		name: 'A budget holds after a loss of all memory',
		tests: ['know of each other before they grant', 'under power-loss and power-loss'],
		mutation: {
			without: 'the introduction before the records are read', file: 'src/zones/warm-up.js', find: 'await options.contact(found.addresses);', replace: '',
		},
	},
	{
		name: '"Not run" is passed on only where it is certain',
		tests: ['a refusal that an endpoint repeats', 'of an endpoint that ran the request is not passed on'],
		mutation: {
			without: 'the attribution of responses', file: 'platform/endpoint-link.js', find: 'return objection === undefined;', replace: 'objection = undefined; return true;',
		},
	},
	{
		name: 'Nothing but events follows the head of a stream',
		tests: ['a stream that broke off is not continued with', 'a stream without any event', 'goes on after the next attempt'],
		mutation: {
			without: 'the check of the head', file: 'src/contracts/relay-attempt.js', find: 'if (progress.hasSentHead) {', replace: 'if (false) {',
		},
	},
	{
		name: 'A budget holds over a takeover',
		tests: ['a budget holds across a takeover'],
		mutation: {
			without: 'spending in the journal', file: 'src/contracts/program.js', find: 'record.kind === \'intent\' ? record.reservation : record.used', replace: '{ tokens: 0, calls: 0 }',
		},
	},
	{
		name: 'No engine memory stays allocated to programs that have ended',
		tests: ['engine memory is released'],
		mutation: {
			without: 'the periodic sweep of engine memory', file: 'src/machines/engine-memory.js', find: 'const ended = held ? await options.ended(held) : [];', replace: 'const ended = [];',
		},
	},
	{
		name: 'Every answer is complete and belongs to its request, even when late or interrupted',
		tests: ['without a missing or duplicate token', 'is continued by another engine', 'is resumed from the engine', 'answer in progress is complete'],
		mutation: {
			without: 'the token offset of a continued answer', file: 'src/zones/call-attempts.js', find: 'index + attempt.prefix.length === transcript', replace: 'index === transcript',
		},
	},
	{
		name: 'A call reported as "not run" has not run',
		tests: ['is never reported as not run', 'is not run, and model calls succeed', 'is not run, and runs after the partition'],
		mutation: {
			without: 'remembering that an earlier attempt may have run', file: 'src/zones/program-routing.js', find: 'mayHaveRun ||= moving.execution !== \'not-run\';', replace: '',
		},
	},
	{
		name: 'A request that may not be repeated runs at most once: intent recorded first',
		tests: ['a reservation whose owner dies', 'is not run, and model calls succeed'],
		mutation: {
			without: 'waiting until the intent is recorded', file: 'src/zones/call-attempts.js', find: 'if (isRepeatable(job.route)) {', replace: 'if (job) {',
		},
	},
	{
		name: 'A request that may not be repeated runs at most once: fencing',
		tests: ['destroys no committed batch', 'resumes in the middle of a checkpoint', 'an owner that was frozen', 'random takeovers'],
		mutation: {
			without: 'the expected version of a slot write',
			file: 'src/zones/journal.js',
			find: 'effect.expected, effect.batch)',
			replace: '(await platform.read(name("slot/" + effect.slot))).unwrapOr({ version: 0 }).version, effect.batch)',
		},
	},
	{
		name: 'A deposed owner never reports "not run" for a key that ran elsewhere',
		tests: ['random schedules'],
		mutation: {
			without: 'refusing results of lost shards', file: 'src/zones/executor.js', find: 'if (execution.lost.aborted) {\n            refuse', replace: 'if (false) {\n            refuse',
		},
	},
	{
		name: 'An endpoint that is leaving gets no new work after a few seconds',
		tests: ['an endpoint that is leaving'],
		mutation: {
			without: 'probes of endpoints', file: 'src/machines/endpoint-probe.js', find: 'options.onState(id, state);', replace: '',
		},
	},
	{
		name: 'A planned stop interrupts no request',
		tests: ['a graceful shutdown completes', 'SIGTERM: the answer in progress'],
		mutation: {
			without: 'waiting for running calls', file: 'src/zones/running-calls.js', find: 'sequence.onIdle()', replace: 'undefined',
		},
	},
	{
		name: 'An accepted configuration is in force everywhere within seconds',
		tests: ['within seven seconds', 'takes effect on the other after it heals', 'an instance that starts during an outage'],
		mutation: {
			without: 'fetching a newer configuration from a peer', file: 'src/machines/instance.js', find: 'configuration.applyIfNewer(fetched.value);', replace: '',
		},
	},
	{
		name: 'An accepted configuration never reverts',
		tests: ['never reverts', 'older than the accepted ones'],
		mutation: {
			without: 'the order of generations', file: 'src/contracts/configuration.js', find: 'candidate.generation > current.generation', replace: 'candidate !== current',
		},
	},
	{
		name: 'Processes die between calls of a program', tests: ['after the owner dies between turns', 'SIGKILL of the owner'],
	},
	{
		name: 'Tools hang', tests: ['a hung tool ends at its timeout'],
	},
	{
		name: 'Programs loop without end', tests: ['a program that loops is stopped'],
	},
	{
		name: 'The store is down or slow', tests: ['while the platform is down', 'a data centre partitioned from the platform'],
	},
	{
		name: 'A response is lost after the write took effect',
		tests: ['when the response to a ledger write is lost', 'a lost response to the accepting write', 'a lost response is reported'],
		mutation: {
			without: 'reading a slot back', file: 'src/contracts/ledger.js', find: 'slot.batch?.nonce === batch.nonce', replace: 'false',
		},
	},
	{
		name: 'Leases expire while their holder is paused',
		tests: ['a call forwarded to an owner that freezes', 'SIGSTOP of the owner'],
		mutation: {
			without: 'aborting calls forwarded to dead instances', file: 'src/zones/forwarded-calls.js', find: 'forward.controller.abort(', replace: 'void (',
		},
	},
	{
		name: 'Operators change the configuration at the same time', tests: ['of two operators who edit the same version', 'an inconsistent pair of tables', 'two tables changed one after the other'],
	},
	{
		name: 'A request crashes each endpoint that runs it',
		tests: ['a request that crashes endpoints is quarantined'],
		mutation: {
			without: 'the quarantine', file: 'src/machines/quarantine.js', find: 'crashesBeforeQuarantine = 2', replace: 'crashesBeforeQuarantine = 99',
		},
	},
	{
		name: 'Data centres are cut off from each other',
		tests: ['partitioned from each other, each continues', 'shards keep their owners', 'a death report counts'],
		mutation: {
			without: 'the check of who reports a death', file: 'src/zones/membership.js', find: 'return reporter === self.dataCentre || reporter === candidate.dataCentre;', replace: 'return true;',
		},
	},
];
