/**
SWIM-style membership of entry instances: probes, suspicion, and gossip with incarnation numbers.

The platform's instance list seeds the view but lags behind, so direct probes correct it. A member
that is wrongly reported as failed refutes the report with a higher incarnation. Updates are
piggybacked on probes and their acknowledgements, a bounded number on each message.
*/
import {
	as, type Address, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type Random} from '../contracts/clock.js';
import {createBroadcastQueue} from './broadcast-queue.js';
import {memberDigest} from './member-identity.js';

/** Interval between the probes that an instance sends. */
export const probeIntervalMs = 500;

/** Time after which a suspected member that has not refuted the suspicion is considered dead. */
export const suspicionTimeoutMs = 3000;

/** Time for which a dead member stays in the view. */
const deadRetentionMs = 600_000;

/** One probe in this many goes to a dead or remote member, so that the end of a partition is detected. */
const probesPerReconnect = 4;

/** A longer gap between two ticks means that the process was paused. */
export const pauseThresholdMs = 2000;

const updatesPerMessage = 8;

export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

export type Member = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Address at which peers reach the member. */
	readonly address: Address;
	readonly incarnation: Incarnation;
	/**
	Incarnation with which its process started. Refutations of wrong reports advance the incarnation, but not this. Absent
	if the member is only known from a source that does not state it.
	*/
	readonly startedAs?: Incarnation;
	readonly status: MemberStatus;
};

export type MembershipEvent
	= | {readonly kind: 'tick'; readonly now: Milliseconds}
		| {readonly kind: 'acknowledged'; readonly member: InstanceId; readonly now: Milliseconds}
		| {readonly kind: 'unanswered'; readonly member: InstanceId; readonly now: Milliseconds}
		/** `reporter` is the data centre from which the status of the members was observed. */
		| {readonly kind: 'updates'; readonly reporter: DataCentreId; readonly members: readonly Member[]; readonly now: Milliseconds}
		/** Data centres that a peer knows, whether or not their members can be reached. */
		| {readonly kind: 'known-data-centres'; readonly dataCentres: readonly DataCentreId[]; readonly now: Milliseconds}
		| {readonly kind: 'leave'};

export type MembershipEffect
	= | {readonly kind: 'probe'; readonly member: Member}
		| {readonly kind: 'changed'; readonly member: Member}
	/** The process was paused, so its ownership of shards has to be verified again. */
		| {readonly kind: 'paused'; readonly gap: Milliseconds};

export type Membership = {
	readonly handle: (event: MembershipEvent) => readonly MembershipEffect[];
	/** Updates to piggyback on the next message. */
	readonly takeUpdates: () => readonly Member[];
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Data centres in the settings, those of the members, and those that peers reported when this instance started. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Hash of the view; views with equal digests are taken as equal. */
	readonly digest: () => number;
};

const severity: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/** Whether `candidate` takes precedence over `known`, an earlier state of the same member. */
export function supersedes(candidate: Member, known: Member): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return severity[candidate.status] > severity[known.status];
}

/** Creates the view of one instance, which at first contains only that instance and the data centres in its settings. */
export function createMembership(own: Omit<Member, 'status' | 'startedAs'>, random: Random, configuredDataCentres: readonly DataCentreId[] = []): Membership {
	let self: Member = {...own, startedAs: own.incarnation, status: 'alive'};
	const known = new Map<InstanceId, Member>();
	const suspectedAt = new Map<InstanceId, Milliseconds>();
	const diedAt = new Map<InstanceId, Milliseconds>();
	const dataCentreReportedAt = new Map<DataCentreId, Milliseconds>();
	const updateQueue = createBroadcastQueue<InstanceId, Member>();
	let probeOrder: InstanceId[] = [];
	let probeCount = 0;
	let lastTick: Milliseconds | undefined;

	function publish(member: Member): void {
		updateQueue.put(member.id, member);
	}

	function applyChange(member: Member, now: Milliseconds): MembershipEffect[] {
		known.set(member.id, member);
		publish(member);
		if (member.status === 'suspect') {
			suspectedAt.set(member.id, now);
		} else {
			suspectedAt.delete(member.id);
		}

		if (member.status === 'dead') {
			diedAt.set(member.id, now);
		} else {
			diedAt.delete(member.id);
		}

		return [{kind: 'changed', member}];
	}

	/** Refutes a wrong report about this instance by publishing a higher incarnation. */
	function refute(report: Member): void {
		if (report.incarnation < self.incarnation) {
			return;
		}

		const isWrong = report.status !== self.status || (report.startedAs !== undefined && report.startedAs !== self.startedAs);
		const incarnation = as<Incarnation>(isWrong ? report.incarnation + 1 : report.incarnation);
		if (incarnation !== self.incarnation) {
			self = {...self, incarnation};
			publish(self);
		}
	}

	/**
	Whether a report is accepted. Whether a member can be reached depends on the observer, so reports of unreachable
	members are accepted only from this data centre and from the member's own.
	*/
	function isCredible(candidate: Member, reporter: DataCentreId): boolean {
		switch (candidate.status) {
			case 'alive':
			case 'leaving': {
				return true;
			}

			case 'suspect':
			case 'dead': {
				return reporter === self.dataCentre || reporter === candidate.dataCentre;
			}
		}
	}

	function merge(candidate: Member, reporter: DataCentreId, now: Milliseconds): MembershipEffect[] {
		if (candidate.id === self.id) {
			refute(candidate);
			return [];
		}

		if (!isCredible(candidate, reporter)) {
			return [];
		}

		const current = known.get(candidate.id);
		if (!current && candidate.status === 'dead') {
			return [];
		}

		return !current || supersedes(candidate, current) ? applyChange(candidate, now) : [];
	}

	function expireSuspicions(now: Milliseconds): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		for (const [id, since] of suspectedAt) {
			const member = known.get(id);
			if (member && now - since >= suspicionTimeoutMs) {
				effects.push(...applyChange({...member, status: 'dead'}, now));
			}
		}

		return effects;
	}

	function handleUnanswered(member: Member, now: Milliseconds): MembershipEffect[] {
		switch (member.status) {
			case 'alive': {
				return applyChange({...member, status: 'suspect'}, now);
			}

			case 'leaving': {
				// A leaving member that no longer replies has shut down.
				return applyChange({...member, status: 'dead'}, now);
			}

			case 'suspect':
			case 'dead': {
				return [];
			}
		}
	}

	/** Evicts dead members and reported data centres after a while, so that replaced instances do not accumulate. */
	function evictDead(now: Milliseconds): void {
		for (const [id, since] of diedAt) {
			if (now - since >= deadRetentionMs) {
				known.delete(id);
				diedAt.delete(id);
			}
		}

		for (const [dataCentre, since] of dataCentreReportedAt) {
			if (now - since >= deadRetentionMs) {
				dataCentreReportedAt.delete(dataCentre);
			}
		}
	}

	function refillProbeOrder(): void {
		const local = [...known.values()].filter(member => member.dataCentre === self.dataCentre && member.status !== 'dead');
		probeOrder = shuffle(local.map(member => member.id));
	}

	function nextProbeTarget(): Member | undefined {
		probeCount++;
		const remoteOrDead = [...known.values()].filter(member => member.dataCentre !== self.dataCentre || member.status === 'dead');
		if (remoteOrDead.length > 0 && (probeCount % probesPerReconnect === 0 || known.size === remoteOrDead.length)) {
			return remoteOrDead[Math.floor(random.fraction() * remoteOrDead.length)];
		}

		if (probeOrder.length === 0) {
			refillProbeOrder();
		}

		const id = probeOrder.pop();
		return id === undefined ? undefined : known.get(id);
	}

	function shuffle(ids: InstanceId[]): InstanceId[] {
		return ids
			.map(id => ({id, rank: random.fraction()}))
			.toSorted((left, right) => left.rank - right.rank)
			.map(entry => entry.id);
	}

	function tick(now: Milliseconds): MembershipEffect[] {
		const gap = lastTick === undefined ? 0 : now - lastTick;
		lastTick = now;
		if (gap > pauseThresholdMs) {
			// A refutation may have been missed during the pause, so the timeouts of suspicions restart.
			for (const id of suspectedAt.keys()) {
				suspectedAt.set(id, now);
			}

			self = {...self, incarnation: as<Incarnation>(self.incarnation + 1)};
			publish(self);
			return [{kind: 'paused', gap: as<Milliseconds>(gap)}];
		}

		evictDead(now);
		const effects = expireSuspicions(now);
		const target = nextProbeTarget();
		return target ? [...effects, {kind: 'probe', member: target}] : effects;
	}

	function handle(event: MembershipEvent): readonly MembershipEffect[] {
		switch (event.kind) {
			case 'tick': {
				return tick(event.now);
			}

			case 'acknowledged': {
				const member = known.get(event.member);
				const isWrong = member?.status === 'suspect' || member?.status === 'dead';
				// The member will refute with a higher incarnation itself; until then its direct reply takes precedence.
				return member && isWrong ? applyChange({...member, status: 'alive', incarnation: as<Incarnation>(member.incarnation + 1)}, event.now) : [];
			}

			case 'unanswered': {
				const member = known.get(event.member);
				return member ? handleUnanswered(member, event.now) : [];
			}

			case 'updates': {
				return event.members.flatMap(member => merge(member, event.reporter, event.now));
			}

			case 'known-data-centres': {
				for (const dataCentre of event.dataCentres) {
					dataCentreReportedAt.set(dataCentre, event.now);
				}

				return [];
			}

			case 'leave': {
				self = {...self, status: 'leaving', incarnation: as<Incarnation>(self.incarnation + 1)};
				publish(self);
				return [];
			}
		}
	}

	publish(self);
	return {
		handle,
		takeUpdates: () => updateQueue.take(updatesPerMessage),
		self: () => self,
		members: () => [self, ...known.values()],
		dataCentres: () => [...new Set([self.dataCentre, ...configuredDataCentres, ...[...known.values()].map(member => member.dataCentre), ...dataCentreReportedAt.keys()])],
		digest() {
			let sum = memberDigest(self);
			for (const member of known.values()) {
				sum = (sum + memberDigest(member)) % Number.MAX_SAFE_INTEGER;
			}

			return sum;
		},
	};
}
