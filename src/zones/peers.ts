/**
Messages between instances. Their encoding and transport are left to the links.
*/
import {type Result} from 'neverthrow';
import {type Call, type CallEvent, type Position} from '../contracts/call.js';
import {type Configuration} from '../contracts/configuration.js';
import {type Failure} from '../contracts/failure.js';
import {
	type ConfigurationGeneration, type CustomerId, type EndpointId, type FencingNumber, type Home, type Milliseconds,
	type ProgramId,
} from '../contracts/id.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type Turn} from '../contracts/program.js';
import {type CloseReason, type JournalRecord} from '../contracts/record.js';
import {type PoolLatency} from '../machines/fleet.js';
import {type Crash} from '../machines/quarantine.js';
import {type Member} from './membership.js';
import {type ProgramOpening, type ProgramView, type CallReference} from './shard.js';

/** State of an endpoint as observed by an instance. The latest observation takes precedence. */
export type EndpointUpdate = {
	readonly endpoint: EndpointId;
	readonly state: 'live' | 'leaving' | 'slow';
	/** Wall-clock time since the epoch. */
	readonly at: Milliseconds;
};

/** Content of a probe and of its acknowledgement. */
export type GossipMessage = {
	readonly from: Member;
	readonly members: readonly Member[];
	readonly digest: number;
	readonly generation: ConfigurationGeneration;
	readonly endpoints: readonly EndpointUpdate[];
	readonly crashes: readonly Crash[];
	/** Typical latencies of pools that the sender has observed and the receiver may not have. */
	readonly paces: readonly PoolLatency[];
	/** Digest of the sender's copy of the tables that relay instances share. */
	readonly relay?: RelayDigest;
};

/** A request about a program, answered by the owner of its home shard. */
export type ProgramRequest
	= | {readonly kind: 'open'; readonly home: Home; readonly opening: ProgramOpening}
		| {readonly kind: 'end'; readonly program: ProgramId; readonly customer: CustomerId; readonly closing: CloseReason}
		| {readonly kind: 'view'; readonly program: ProgramId; readonly customer: CustomerId}
		| {readonly kind: 'history'; readonly program: ProgramId; readonly customer: CustomerId};

export type ProgramReply
	= | {readonly kind: 'view'; readonly view: ProgramView}
		| {readonly kind: 'history'; readonly turns: readonly Turn[]}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** A request for the events of a call, answered by the owner of its program's home shard. */
export type StreamRequest
	= | {readonly kind: 'call'; readonly call: Call; readonly position: Position}
		| {readonly kind: 'follow'; readonly target: CallReference; readonly position: Position};

/** A request about a shard, between its previous, current and next owners and the peers that hold replicas of its records. */
export type ShardRequest
	/** Hold replicas of records that are not written to the platform yet. */
	= | {readonly kind: 'hold'; readonly home: Home; readonly epoch: FencingNumber; readonly records: readonly JournalRecord[]}
		| {readonly kind: 'collect'; readonly home: Home}
		| {readonly kind: 'release'; readonly home: Home}
	/** Finish the running calls and release ownership of the shard. */
		| {readonly kind: 'relinquish'; readonly home: Home}
	/** Select the programs that are still open. */
		| {readonly kind: 'living'; readonly home: Home; readonly programs: readonly ProgramId[]};

export type ShardReply
	= | {readonly kind: 'done'}
		| {readonly kind: 'records'; readonly records: readonly JournalRecord[]}
		| {readonly kind: 'living'; readonly programs: readonly ProgramId[]}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Client of the other instances. Failures contain the step `forward` and the peer's id. */
export type Peers = {
	readonly gossip: (peer: Member, message: GossipMessage) => Promise<Result<GossipMessage, Failure>>;
	readonly members: (peer: Member) => Promise<Result<readonly Member[], Failure>>;
	readonly configuration: (peer: Member) => Promise<Result<Configuration, Failure>>;
	readonly program: (peer: Member, request: ProgramRequest) => Promise<ProgramReply>;
	readonly shard: (peer: Member, request: ShardRequest, timeout: Milliseconds) => Promise<ShardReply>;
	/** Ends with a refusal of code `peer-unreachable` when the connection breaks. */
	readonly stream: (peer: Member, request: StreamRequest, signal: AbortSignal) => AsyncIterable<CallEvent>;
};
