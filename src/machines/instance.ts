/**
An entry instance: receives requests of callers and peers, forwards each to the home of its program, and
performs this instance's share of the control tasks.
*/
import {type Dispatch} from '../contracts/attempt.js';
import {type CallEvent} from '../contracts/call.js';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Configuration} from '../contracts/configuration.js';
import {
	as, type Address, type DataCentreId, type EndpointId, homeOf, type Incarnation, type InstanceId, type Milliseconds,
	type ProgramId,
} from '../contracts/id.js';
import {type Platform} from '../contracts/platform.js';
import {createConfigurationWatch} from '../zones/configuration-watch.js';
import {createDataCentre} from '../zones/data-centre.js';
import {createEndedPrograms} from '../zones/ended-programs.js';
import {createExecutor} from '../zones/executor.js';
import {createMembership, type Member} from '../zones/membership.js';
import {createGossipProtocol} from '../zones/gossip-protocol.js';
import {isAmongOwners} from '../zones/ownership.js';
import {
	type EndpointUpdate, type GossipMessage, type Peers, type ProgramReply, type ProgramRequest, type ShardReply, type ShardRequest,
	type StreamRequest,
} from '../zones/peers.js';
import {type ProgramOpening} from '../zones/shard.js';
import {createForwardedCalls} from '../zones/forwarded-calls.js';
import {createProgramRouting} from '../zones/program-routing.js';
import {createStatus} from './status.js';
import {type BackEnd} from './back-end.js';
import {createEndpointProbe} from './endpoint-probe.js';
import {createEventLog, type LoggedEvent} from './event-log.js';
import {type HealthEvent} from './health.js';
import {createFleet} from './fleet.js';
import {type InstanceEvent} from './instance-event.js';
import {createInstanceReport, type Gauges} from './instance-report.js';
import {createListingWatch} from './listing-watch.js';
import {createEngineMemory} from './engine-memory.js';
import {createScheduler, type Policy} from './policy.js';
import {createQuarantine} from './quarantine.js';

/** Number of instances of a data centre that read the platform's list; a single one could lose its connection to the platform unnoticed. */
const listingReaders = 2;

/** Time until a slow endpoint gets a trial call from the instance responsible for it, and from other instances. */
const responsibleTrialDelayMs = 5000;
const fallbackTrialDelayMs = 20_000;

export type Instance = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly open: (opening: ProgramOpening) => Promise<ProgramReply>;
	/** Handles a request about a program, wherever its home is. */
	readonly program: (request: ProgramRequest) => Promise<ProgramReply>;
	/** Events of a call; the stream continues when another instance takes over its program. */
	readonly stream: (request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	readonly answerGossip: (message: GossipMessage) => GossipMessage;
	readonly answerProgram: (request: ProgramRequest) => Promise<ProgramReply>;
	readonly answerStream: (request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	readonly answerShard: (request: ShardRequest) => Promise<ShardReply>;
	readonly members: () => readonly Member[];
	readonly configuration: () => Configuration;
	readonly explain: (program: ProgramId) => readonly LoggedEvent[];
	readonly isReady: () => boolean;
	/** Complete state of the instance for operators. */
	readonly dump: () => Record<string, unknown>;
	readonly gauges: () => Gauges;
	/** Runs the control loops until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Notifies peers, finishes all calls and relinquishes every shard. */
	readonly leave: () => Promise<void>;
};

export type InstanceOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	readonly incarnation: Incarnation;
	readonly seeds: readonly Address[];
	/** Maximum time for which `windowed` records wait to share a write; zero by default. */
	readonly commitWindow?: Milliseconds;
	/** How calls are placed and ordered; adaptive by default. */
	readonly policy?: Policy;
	readonly platform: Platform;
	readonly peers: Peers;
	readonly dispatch: Dispatch;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: InstanceEvent) => void;
};

function healthEventOf(state: EndpointUpdate['state'], trialAfter: Milliseconds): HealthEvent {
	switch (state) {
		case 'live': {
			return {kind: 'reported-live'};
		}

		case 'leaving': {
			return {kind: 'reported-leaving'};
		}

		case 'slow': {
			return {kind: 'reported-slow', trialAfter};
		}
	}
}

/** Creates an instance; nothing runs until `run` is called. */
export function createInstance(options: InstanceOptions): Instance {
	const {clock, random, platform, peers, dispatch} = options;
	const events = createEventLog(clock);
	const scheduler = createScheduler(options.policy ?? {kind: 'adaptive'});
	const fleet = createFleet({dataCentre: options.dataCentre, clock, scheduler});
	const quarantine = createQuarantine();
	const {id, address, incarnation} = options;
	const membership = createMembership({
		id, dataCentre: options.dataCentre, address, incarnation,
	}, random);

	const forwardedCalls = createForwardedCalls({peers, members: () => membership.members()});
	let isJoined = false;

	const configuration = createConfigurationWatch({
		instance: options.id,
		platform,
		clock,
		isWatcher: () => isResponsibleFor('configuration'),
		onChange(next) {
			fleet.apply(next);
			gossipProtocol.gossipNow();
			options.onEvent({kind: 'configuration', configuration: next});
		},
		onRefusal(reason) {
			options.onEvent({kind: 'configuration-refused', failure: reason});
		},
	});

	const gossipProtocol = createGossipProtocol({
		membership,
		peers,
		clock,
		seeds: options.seeds,
		generation: () => configuration.current().generation,
		onMember(member) {
			options.onEvent({kind: 'member', member});
			forwardedCalls.abortToDead();
			dataCentre.claimShards();
		},
		onPause(gap) {
			options.onEvent({kind: 'paused', gap});
			dataCentre.verifyOwnership();
		},
		onEndpointUpdate(update) {
			fleet.backEnd(update.endpoint)?.applyHealthEvent(healthEventOf(update.state, trialDelay(update.endpoint)), clock.now());
			options.onEvent({kind: 'endpoint', endpoint: update.endpoint, state: update.state});
		},
		onCrash(crash) {
			if (quarantine.record(crash, clock.now())) {
				gossipProtocol.announceCrash(crash);
			}
		},
		nextPoolLatencies: fleet.nextPoolLatencies,
		onPoolLatency: fleet.recordPeerLatency,
		onNewerConfiguration(peer) {
			void fetchConfiguration(peer);
		},
	});

	const executor = createExecutor({
		fleet,
		scheduler,
		trialDelay,
		dispatch,
		quarantine,
		clock,
		random,
		onEvent(execution) {
			events.add(execution);
			options.onEvent({kind: 'execution', execution});
			if (execution.kind === 'stalled' && execution.endpoint !== undefined) {
				gossipProtocol.announceEndpoint({endpoint: execution.endpoint, state: 'slow', at: clock.wall()});
			}

			if (execution.kind === 'restored' && execution.endpoint !== undefined) {
				gossipProtocol.announceEndpoint({endpoint: execution.endpoint, state: 'live', at: clock.wall()});
			}

			if (execution.kind === 'crashed' && execution.endpoint !== undefined) {
				gossipProtocol.announceCrash({fingerprint: execution.detail, endpoint: execution.endpoint});
			}
		},
	});

	const ended = createEndedPrograms({id, dataCentre: () => dataCentre, peers});
	const memory = createEngineMemory({
		fleet, dispatch, clock, isResponsible, ended: ended.among,
	});

	const probe = createEndpointProbe({
		fleet,
		dispatch,
		clock,
		isResponsible,
		onState(endpoint, state) {
			gossipProtocol.announceEndpoint({endpoint, state, at: clock.wall()});
		},
	});

	const dataCentre = createDataCentre({
		id: options.dataCentre,
		instance: options.id,
		incarnation: options.incarnation,
		membership,
		isJoined: () => isJoined,
		peers,
		platform,
		executor,
		clock,
		random,
		commitWindow: options.commitWindow ?? as<Milliseconds>(0),
		release: memory.release,
		onShard(change) {
			options.onEvent({
				kind: 'shard', change: change.kind, home: change.home, programs: change.programs,
			});
		},
	});

	const routing = createProgramRouting({
		id: options.id, dataCentre, forwardedCalls, peers, clock,
	});

	const status = createStatus({
		id: options.id,
		dataCentre: options.dataCentre,
		platform,
		clock,
		fleet,
		members: () => membership.members(),
		generation: () => configuration.current().generation,
		generations: () => gossipProtocol.generations(),
		isResponsible: () => isResponsibleFor('status'),
	});

	const listing = createListingWatch({
		platform,
		clock,
		fleet,
		hasNoPeers: () => membership.members().length === 1,
		isResponsible: () => isResponsibleFor('listing', listingReaders),
		onListing: gossipProtocol.mergeListing,
		onLeaving(endpoint) {
			gossipProtocol.announceEndpoint({endpoint, state: 'leaving', at: clock.wall()});
		},
	});

	/** Whether this instance is responsible for a control task of its data centre, alone or as one of `count` instances. */
	function isResponsibleFor(task: string, count = 1): boolean {
		return isJoined && isAmongOwners(membership.self(), task, membership.members(), count);
	}

	/** The responsible instance sends a trial call to a slow endpoint early; the others wait for its report. */
	function trialDelay(endpoint: EndpointId): Milliseconds {
		const backEnd = fleet.backEnd(endpoint);
		const delay = backEnd && isResponsible(backEnd) ? responsibleTrialDelayMs : fallbackTrialDelayMs * (1 + random.fraction());
		return as<Milliseconds>(delay);
	}

	function isResponsible(backEnd: BackEnd): boolean {
		return backEnd.endpoint.dataCentre === options.dataCentre && isResponsibleFor(`endpoint/${backEnd.endpoint.id}`);
	}

	async function fetchConfiguration(peer: Member): Promise<void> {
		const fetched = await peers.configuration(peer);
		if (fetched.isOk()) {
			configuration.applyIfNewer(fetched.value);
		}
	}

	/** Finds the other members before owning any shard. Continues alone if neither the platform nor any peer answers. */
	async function join(): Promise<void> {
		await listing.read();
		await gossipProtocol.joinCluster();
		isJoined = true;
		dataCentre.claimShards();
	}

	const report = createInstanceReport({
		membership, dataCentre, status, quarantine, memory, generation: () => configuration.current().generation,
	});

	return {
		id: options.id,
		dataCentre: options.dataCentre,
		open: async opening => routing.program({kind: 'open', home: opening.parent === undefined ? dataCentre.newHome() : homeOf(opening.parent), opening}),
		program: routing.program,
		stream: routing.stream,
		answerGossip: message => gossipProtocol.receive(message),
		answerProgram: routing.answerProgram,
		answerStream: routing.answerStream,
		answerShard: async request => dataCentre.answer(request),
		members: () => membership.members(),
		configuration: () => configuration.current(),
		explain: id => events.eventsOf(id),
		isReady: () => configuration.current().generation > 0,
		dump: report.dump,
		gauges: report.gauges,
		async run(signal) {
			await join();
			await Promise.all([
				gossipProtocol.run(signal),
				configuration.run(signal),
				listing.run(signal),
				status.run(signal),
				dataCentre.run(signal),
				memory.run(signal),
				probe.run(signal),
			]);
		},
		async leave() {
			await gossipProtocol.leave();
			await dataCentre.leave();
		},
	};
}
