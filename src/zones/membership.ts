/**
Membership of entry instances: probes, suspicion and gossip with incarnations.

The platform's instance list seeds the view but lags; direct probes correct it. A member that is
reported wrongly refutes the report with a higher incarnation. News travels on probes and their
acknowledgements, a bounded number of updates each.
*/
import {
	as, type Address, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type Random} from '../contracts/clock.js';
import {createBroadcastQueue} from './broadcast-queue.js';

/** Time between two probes that an instance sends. */
export const probeIntervalMs = 500;

/** Time without refutation after which a suspected member counts as dead. */
export const suspicionTimeoutMs = 3000;

/** Time after which a dead member is dropped from the view. */
const forgetDeadMs = 600_000;

/** Every n-th probe goes to a dead or remote member, so that a healed partition is noticed. */
const reconnectEvery = 4;

/** A gap between two ticks above this means that the process was paused. */
export const pauseThresholdMs = 2000;

const updatesPerMessage = 8;

export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

export type Member = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Where peers reach it. */
	readonly address: Address;
	readonly incarnation: Incarnation;
	readonly status: MemberStatus;
};

export type MembershipEvent
	= | {readonly kind: 'tick'; readonly now: Milliseconds}
		| {readonly kind: 'acknowledged'; readonly member: InstanceId; readonly now: Milliseconds}
		| {readonly kind: 'unanswered'; readonly member: InstanceId; readonly now: Milliseconds}
		/** `reporter` is the data centre from which the members were seen. */
		| {readonly kind: 'updates'; readonly reporter: DataCentreId; readonly members: readonly Member[]; readonly now: Milliseconds}
		/** A peer knows these data centres, whether or not their members can be reached. */
		| {readonly kind: 'known-data-centres'; readonly dataCentres: readonly DataCentreId[]; readonly now: Milliseconds}
		| {readonly kind: 'leave'};

export type MembershipEffect
	= | {readonly kind: 'probe'; readonly member: Member}
		| {readonly kind: 'changed'; readonly member: Member}
	/** The process was paused; whatever it owned has to be proved again. */
		| {readonly kind: 'paused'; readonly gap: Milliseconds};

export type Membership = {
	readonly handle: (event: MembershipEvent) => readonly MembershipEffect[];
	/** Updates to attach to the next message. */
	readonly takeUpdates: () => readonly Member[];
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Data centres of the members, and those that peers knew when this instance started. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Equal digests mean equal views. */
	readonly digest: () => number;
};

const severity: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/** Whether `candidate` replaces `known` in a view. */
export function supersedes(candidate: Member, known: Member): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return severity[candidate.status] > severity[known.status];
}

function digestOf(member: Member): number {
	let hash = 17;
	for (const character of `${member.id}|${member.incarnation}|${member.status}`) {
		hash = Math.imul(hash, 31) + (character.codePointAt(0) ?? 0);
	}

	return hash;
}

/** Creates the view of one instance, which at first knows only itself. */
export function createMembership(own: Omit<Member, 'status'>, random: Random): Membership {
	let self: Member = {...own, status: 'alive'};
	const known = new Map<InstanceId, Member>();
	const suspectedAt = new Map<InstanceId, Milliseconds>();
	const diedAt = new Map<InstanceId, Milliseconds>();
	const heardOfAt = new Map<DataCentreId, Milliseconds>();
	const news = createBroadcastQueue<InstanceId, Member>();
	let rotation: InstanceId[] = [];
	let probes = 0;
	let lastTick: Milliseconds | undefined;

	function publish(member: Member): void {
		news.put(member.id, member);
	}

	function put(member: Member, now: Milliseconds): MembershipEffect[] {
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

	/** Answers a wrong report about this instance with a higher incarnation. */
	function refute(report: Member): void {
		if (report.incarnation < self.incarnation) {
			return;
		}

		const isWrong = report.status !== self.status;
		const incarnation = as<Incarnation>(isWrong ? report.incarnation + 1 : report.incarnation);
		if (incarnation !== self.incarnation) {
			self = {...self, incarnation};
			publish(self);
		}
	}

	/**
	Whether a report counts here. That a member cannot be reached is true only as seen from somewhere:
	from this data centre, or from the member's own.
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

		return !current || supersedes(candidate, current) ? put(candidate, now) : [];
	}

	function expireSuspicions(now: Milliseconds): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		for (const [id, since] of suspectedAt) {
			const member = known.get(id);
			if (member && now - since >= suspicionTimeoutMs) {
				effects.push(...put({...member, status: 'dead'}, now));
			}
		}

		return effects;
	}

	function unanswered(member: Member, now: Milliseconds): MembershipEffect[] {
		switch (member.status) {
			case 'alive': {
				return put({...member, status: 'suspect'}, now);
			}

			case 'leaving': {
				// It announced its end and has reached it.
				return put({...member, status: 'dead'}, now);
			}

			case 'suspect':
			case 'dead': {
				return [];
			}
		}
	}

	/** Dead members and their data centres are forgotten after a while, so that replaced instances do not pile up. */
	function forgetDead(now: Milliseconds): void {
		for (const [id, since] of diedAt) {
			if (now - since >= forgetDeadMs) {
				known.delete(id);
				diedAt.delete(id);
			}
		}

		for (const [dataCentre, since] of heardOfAt) {
			if (now - since >= forgetDeadMs) {
				heardOfAt.delete(dataCentre);
			}
		}
	}

	function refillRotation(): void {
		const local = [...known.values()].filter(member => member.dataCentre === self.dataCentre && member.status !== 'dead');
		rotation = shuffle(local.map(member => member.id));
	}

	function nextTarget(): Member | undefined {
		probes++;
		const distant = [...known.values()].filter(member => member.dataCentre !== self.dataCentre || member.status === 'dead');
		if (distant.length > 0 && (probes % reconnectEvery === 0 || known.size === distant.length)) {
			return distant[Math.floor(random.fraction() * distant.length)];
		}

		if (rotation.length === 0) {
			refillRotation();
		}

		const id = rotation.pop();
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
			// Suspicions that ran out during the pause prove nothing about the others.
			for (const id of suspectedAt.keys()) {
				suspectedAt.set(id, now);
			}

			self = {...self, incarnation: as<Incarnation>(self.incarnation + 1)};
			publish(self);
			return [{kind: 'paused', gap: as<Milliseconds>(gap)}];
		}

		forgetDead(now);
		const effects = expireSuspicions(now);
		const target = nextTarget();
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
				// The member itself refutes with a higher incarnation; until then a direct answer counts for more.
				return member && isWrong ? put({...member, status: 'alive', incarnation: as<Incarnation>(member.incarnation + 1)}, event.now) : [];
			}

			case 'unanswered': {
				const member = known.get(event.member);
				return member ? unanswered(member, event.now) : [];
			}

			case 'updates': {
				return event.members.flatMap(member => merge(member, event.reporter, event.now));
			}

			case 'known-data-centres': {
				for (const dataCentre of event.dataCentres) {
					heardOfAt.set(dataCentre, event.now);
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
		takeUpdates: () => news.take(updatesPerMessage),
		self: () => self,
		members: () => [self, ...known.values()],
		dataCentres: () => [...new Set([self.dataCentre, ...[...known.values()].map(member => member.dataCentre), ...heardOfAt.keys()])],
		digest() {
			let sum = digestOf(self);
			for (const member of known.values()) {
				sum = (sum + digestOf(member)) % Number.MAX_SAFE_INTEGER;
			}

			return sum;
		},
	};
}
