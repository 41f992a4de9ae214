/**
Messages between relaying instances, independent of how the links encode and transport them.
*/
import {type Result} from 'neverthrow';
import {type ListedArchive} from '../contracts/archive.js';
import {type Failure} from '../contracts/failure.js';
import {
	type Address, type AttemptId, type ChangeNumber, type ConfigurationGeneration, type DataCentreId, type EndpointId, type Milliseconds, type ObjectVersion,
	type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type RateLimit} from '../contracts/rate-limit.js';
import {type RelayConfiguration} from '../contracts/relay.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type ReservationRequest} from '../contracts/reservation.js';
import {type PromptLocation} from '../machines/prompt-locations.js';
import {type StreamOrigin} from '../machines/stream-origins.js';
import {type LoadSource} from '../machines/relay-endpoint.js';
import {type AllotmentMessage, type AllotmentReply} from './allotments/messages.js';
import {type BudgetRecord} from './budget-records.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {type Member} from './membership.js';
import {type GossipMessage} from './peers.js';
import {type PermitOutcome, type PermitRequest} from './permit-coordinator.js';

/** Requests of this instance in flight at an endpoint, and the smoothed latency (`pace`) that it observes there, in ms. */
export type EndpointLoad = {
	readonly id: EndpointId;
	readonly inFlight: number;
	readonly pace: number | undefined;
	/** Set if the endpoint has just broken off responses to the sender. */
	readonly isFailing?: boolean | undefined;
	/** Share of its responses to the sender that failed lately; absent if there are hardly any. */
	readonly failureShare?: number | undefined;
	/** Present if the endpoint said that it leaves, with the start of the incarnation that said so. */
	readonly leaving?: {readonly bornAt?: Milliseconds | undefined} | undefined;
	/** Rate limit that the endpoint has, or had until recently, and the time since it stated that. */
	readonly rateLimit?: {readonly limit: RateLimit; readonly age: Milliseconds} | undefined;
};

/** Changes of an instance's directory; `previous` is the number of the change that precedes them. */
export type EndpointChanges = {
	readonly from: Address;
	readonly previous: ChangeNumber;
	readonly change: ChangeNumber;
	readonly entries: readonly DirectoryEntry[];
};

/** A short message between instances. */
export type RelayMessage
	= | {readonly kind: 'gossip'; readonly gossip: GossipMessage}
		| {readonly kind: 'reserve'; readonly reservation: ReservationRequest; readonly isHomeUnreachable: boolean; readonly isForwarded: boolean}
	/** `isOver` is absent in messages of earlier builds, which do not know whether the attempt may still be sent. */
		| {
			readonly kind: 'settle'; readonly program: ProgramId; readonly attempt: AttemptId; readonly used: Tokens; readonly place: PromptLocation | undefined;
			readonly isOver?: boolean | undefined;
		}
	/** `isAnnouncement` asks the receiver to pass the accounts on to its data centre; instances that do not know it pass on those of other data centres. */
		| {readonly kind: 'accounts'; readonly accounts: readonly TokenAccount[]; readonly isPassedOn: boolean; readonly isAnnouncement?: boolean}
	/** Asks for a write on behalf of the sender, which the store does not answer. */
		| {readonly kind: 'record'; readonly record: BudgetRecord}
	/** Changes of the list of endpoints. */
		| {readonly kind: 'endpoints'; readonly changes: EndpointChanges}
	/** Versions of the sender's tables, and whether the store answers it. */
		| {readonly kind: 'announce'; readonly from: Address; readonly digest: RelayDigest}
	/** Records where a stream began whose first event a caller received in this attempt. */
		| {readonly kind: 'origin'; readonly attempt: AttemptId; readonly origin: StreamOrigin}
		| {readonly kind: 'find-origin'; readonly attempt: AttemptId}
	/** Asks for a permit for one request to an endpoint with a rate limit. */
		| {readonly kind: 'permit'; readonly permit: PermitRequest; readonly isCoordinatorUnreachable: boolean}
	/** Asks which archives exist. */
		| {readonly kind: 'archives'}
	/** Asks for the digest of the receiver's tables. */
		| {readonly kind: 'digest'}
	/** Concerns the allotments of workspaces. */
		| {readonly kind: 'allotment'; readonly allotment: AllotmentMessage}
		| {readonly kind: 'loads'; readonly from: LoadSource; readonly loads: readonly EndpointLoad[]};

export type ReservationOutcome
	= | {readonly kind: 'granted'}
		| {readonly kind: 'exhausted'}
	/** The instance that was asked may not grant it now. */
		| {readonly kind: 'withheld'}
	/** The instance has not yet recovered what programs have used. */
		| {readonly kind: 'cold'}
	/** The program's home is another data centre. */
		| {readonly kind: 'elsewhere'; readonly home: DataCentreId};

export type RelayReply
	= | {readonly kind: 'done'}
		| {readonly kind: 'gossip'; readonly gossip: GossipMessage}
		| {readonly kind: 'digest'; readonly digest: RelayDigest}
		| {readonly kind: 'recorded'; readonly isWritten: boolean}
		| {readonly kind: 'permit'; readonly outcome: PermitOutcome}
		| {readonly kind: 'origin'; readonly origin: StreamOrigin | undefined}
	/** Archives as the instance knows them; undefined if it knows none. */
		| {readonly kind: 'archives'; readonly archives: readonly ListedArchive[] | undefined}
		| {readonly kind: 'allotment'; readonly reply: AllotmentReply}
	/** Accounts of which the instance has newer data than it was sent. */
		| {readonly kind: 'accounts'; readonly accounts: readonly TokenAccount[]}
	/** `isUnanswered` is set if the instance forwarded the question, and one that it asked did not reply and may have reserved the attempt. */
		| {
			readonly kind: 'reservation'; readonly outcome: ReservationOutcome; readonly places: readonly PromptLocation[]; readonly isUnanswered?: true | undefined;
		};

/** First message to an instance that joins. */
export type Greeting = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** Includes data centres of dead members: a joining instance ignores dead members, but has to know where they were. */
	readonly dataCentres: readonly DataCentreId[];
	readonly digest: RelayDigest;
};

/** What an instance wants of the shared tables of another. */
export type TablesRequest = {
	/** Generation that it has; only a newer configuration is sent. */
	readonly generation: ConfigurationGeneration;
	readonly withEntries: boolean;
};

/** Snapshot of the shared tables of an instance, as far as another wants them. */
export type RelayTables = {
	readonly configuration?: RelayConfiguration | undefined;
	/** Entries of the directory; undefined if they are not wanted. */
	readonly entries?: readonly DirectoryEntry[] | undefined;
	/** Revision of the list that the instance read last: an older endpoint that is not among the entries has been removed. */
	readonly listedAt: ObjectVersion;
	/** Digest of the tables at the time of the snapshot. */
	readonly digest: RelayDigest;
};

export type MessageOptions = {
	/** Timeout of one attempt. */
	readonly timeout: Milliseconds;
	readonly attempts: number;
};

/** Messaging with the other instances. */
export type RelayPeers = {
	/** Sends a message and waits for its reply. Resolves to undefined when no attempt was answered. */
	readonly request: (address: Address, message: RelayMessage, options: MessageOptions) => Promise<RelayReply | undefined>;
	/** When a reply of any kind last arrived from the address, on the clock of the process; undefined if none has. */
	readonly repliedAt: (address: Address) => Milliseconds | undefined;
	/** Sends without waiting for a reply. */
	readonly post: (address: Address, message: RelayMessage) => void;
	/** This method and those below fail with `peer-unreachable`. */
	readonly greet: (address: Address) => Promise<Result<Greeting, Failure>>;
	readonly tables: (address: Address, request: TablesRequest) => Promise<Result<RelayTables, Failure>>;
	/** Homes of programs, without what instances counted. */
	readonly homes: (address: Address) => Promise<Result<readonly TokenAccount[], Failure>>;
};

