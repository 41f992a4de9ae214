/**
What relaying instances ask of each other. The links carry these messages; nothing here knows how.
*/
import {type Result} from 'neverthrow';
import {type Failure} from '../contracts/failure.js';
import {
	type Address, type AttemptId, type ChangeNumber, type DataCentreId, type EndpointId, type Milliseconds, type ObjectVersion, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type RelayConfiguration} from '../contracts/relay.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type TokenAccount, type ReservationRequest} from '../contracts/token-ledger.js';
import {type PromptLocation} from '../machines/prompt-locations.js';
import {type LoadSource} from '../machines/relay-endpoint.js';
import {type BudgetRecord} from './budget-records.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {type Member} from './membership.js';
import {type GossipMessage} from './peers.js';

/** Requests of this instance at an endpoint, and its pace as seen from here in ms. */
export type EndpointLoad = {readonly id: EndpointId; readonly inFlight: number; readonly pace: number | undefined};

/** Changes of an instance's directory; `previous` is the number of the change before them. */
export type EndpointChanges = {
	readonly from: Address;
	readonly previous: ChangeNumber;
	readonly change: ChangeNumber;
	readonly entries: readonly DirectoryEntry[];
};

/** A short message that expects a reply. */
export type RelayMessage
	= | {readonly kind: 'gossip'; readonly gossip: GossipMessage}
		| {readonly kind: 'reserve'; readonly reservation: ReservationRequest; readonly isHomeUnreachable: boolean; readonly isForwarded: boolean}
		| {readonly kind: 'settle'; readonly program: ProgramId; readonly attempt: AttemptId; readonly used: Tokens; readonly place: PromptLocation | undefined}
		| {readonly kind: 'accounts'; readonly accounts: readonly TokenAccount[]; readonly isPassedOn: boolean}
	/** The store does not answer the sender. */
		| {readonly kind: 'record'; readonly record: BudgetRecord}
	/** Changes of the list of endpoints. */
		| {readonly kind: 'endpoints'; readonly changes: EndpointChanges}
	/** How far the sender is, and whether the store answers it. */
		| {readonly kind: 'announce'; readonly from: Address; readonly digest: RelayDigest}
		| {readonly kind: 'loads'; readonly from: LoadSource; readonly loads: readonly EndpointLoad[]};

export type ReservationOutcome
	= | {readonly kind: 'granted'}
		| {readonly kind: 'exhausted'}
	/** The instance that was asked may not grant it now. */
		| {readonly kind: 'withheld'}
	/** The instance does not know yet what programs have used. */
		| {readonly kind: 'cold'}
	/** The program's home is another data centre. */
		| {readonly kind: 'elsewhere'; readonly home: DataCentreId};

export type RelayReply
	= | {readonly kind: 'done'}
		| {readonly kind: 'gossip'; readonly gossip: GossipMessage}
		| {readonly kind: 'recorded'; readonly isWritten: boolean}
	/** What the instance knows beyond the accounts that it was sent. */
		| {readonly kind: 'accounts'; readonly accounts: readonly TokenAccount[]}
		| {readonly kind: 'reservation'; readonly outcome: ReservationOutcome; readonly places: readonly PromptLocation[]};

/** What a newcomer is told first. */
export type Greeting = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** A newcomer does not hear of members that count as dead, but has to know where they were. */
	readonly dataCentres: readonly DataCentreId[];
	readonly digest: RelayDigest;
};

/** Everything that an instance knows of the shared tables. */
export type RelayTables = {
	readonly configuration?: RelayConfiguration | undefined;
	readonly entries: readonly DirectoryEntry[];
	/** Revision of the list that the instance read last: what is older and not among the entries has been removed. */
	readonly listedAt: ObjectVersion;
	/** How far the instance was when it sent them. */
	readonly digest: RelayDigest;
};

export type MessageOptions = {
	/** Time after which a try counts as lost. */
	readonly timeout: Milliseconds;
	readonly tries: number;
};

/** The other instances, as seen from this one. */
export type RelayPeers = {
	/** Undefined when no try was answered. */
	readonly request: (address: Address, message: RelayMessage, options: MessageOptions) => Promise<RelayReply | undefined>;
	/** Sends without waiting for a reply. */
	readonly post: (address: Address, message: RelayMessage) => void;
	/** These fail with `peer-unreachable`. */
	readonly greet: (address: Address) => Promise<Result<Greeting, Failure>>;
	readonly tables: (address: Address) => Promise<Result<RelayTables, Failure>>;
	/** Homes of programs, without what was counted. */
	readonly homes: (address: Address) => Promise<Result<readonly TokenAccount[], Failure>>;
};

