/**
Archives that exist, as the store lists them. The list is read with cheap reads that may be out of date, and only while the
configuration has a route that keeps turns; that is enough to place copies and to find turns. Whether a turn exists
nowhere is decided only by a consistent read. An instance that knows no archive and gets no answer from the store asks a peer.
*/
import {
	archiveKind, decodeArchive, type ListedArchive,
} from '../../contracts/archive.js';
import {type Clock, type Random} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {
	as, type InstanceId, type Milliseconds, type ObjectVersion,
} from '../../contracts/id.js';
import {type ObjectList, type ObjectStore} from '../../contracts/object-store.js';
import {type Member} from '../membership.js';
import {type RelayPeers, type RelayReply} from '../relay-peers.js';
import {withTimeout} from '../with-timeout.js';
import {type TurnEvent} from './turn-event.js';

/** Interval of the reads, of which each is shorter or longer by up to `refreshJitter` of it, in ms. */
const refreshIntervalMs = 5000;
const refreshJitter = 0.2;

/** The same while there are too few archives to keep a turn. */
const urgentIntervalMs = 1000;

/** The same after the first failure while no archive is known, in ms; it doubles with each further one up to `urgentIntervalMs`. */
const firstRetryMs = 200;

/** Time for which a turn waits until the archives are known, in ms: while the first read is under way, and after a failed one. */
const firstReadPatienceMs = 1500;
const failingPatienceMs = 500;

/** Interval at which the configuration is checked for a route that keeps turns, in ms. */
const idleIntervalMs = 200;

/** Time for which the store is waited for before peers are asked, in ms; a slow store takes 240 ms. */
const storePatienceMs = 250;

const peerTimeoutMs = 100;
const maximumPeersAsked = 3;

/** Minimum interval between two consistent reads, in ms. */
const consistentIntervalMs = 300;

export type ArchiveRegistry = {
	/** The archives as known; undefined as long as nobody has told. */
	readonly known: () => readonly ListedArchive[] | undefined;
	/** Waits for the archives to be known, for a caller that waits for the time. */
	readonly obtain: (timeLeft: Milliseconds) => Promise<readonly ListedArchive[] | undefined>;
	/** Reads all archives as of now; undefined if the store does not answer or an entry is invalid. */
	readonly readConsistently: () => Promise<readonly ListedArchive[] | undefined>;
	/** Whether the archive need not be asked: its turns have been copied, or have expired because it has taken no new ones for their retention. */
	readonly isDrained: (archive: ListedArchive) => boolean;
	/** Answers a peer that gets no answer from the store. */
	readonly answer: () => RelayReply;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type ArchiveRegistryOptions = {
	readonly store: Pick<ObjectStore, 'list' | 'listStale'>;
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Longest retention of turns in the configuration; undefined if none are kept. */
	readonly retention: () => Milliseconds | undefined;
	/** Whether these archives suffice to keep a turn. */
	readonly isSufficient: (archives: readonly ListedArchive[]) => boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: TurnEvent) => void;
};

/** Creates the registry of an instance that knows no archive yet. */
export function createArchiveRegistry(options: ArchiveRegistryOptions): ArchiveRegistry {
	const {store, clock} = options;
	let known: readonly ListedArchive[] | undefined;
	let revision: ObjectVersion | undefined;
	/** Number of reads in a row that failed. */
	let failures = 0;
	let longestRetention = as<Milliseconds>(0);
	/** When this instance first saw that an archive is leaving. */
	const leavingSince = new Map<InstanceId, Milliseconds>();
	let queuedRead: Promise<readonly ListedArchive[] | undefined> | undefined;
	let nextReadAt = clock.now();
	const firstKnown = createDeferred<true>();

	const describe = ({id, state, address}: ListedArchive) => `${id} ${state} ${address}`;

	function setKnown(archives: readonly ListedArchive[], source: 'store' | 'peer'): void {
		const previous = known?.map(archive => describe(archive)).join(', ');
		known = archives;
		firstKnown.resolve(true);
		for (const {id, state} of archives) {
			if (state === 'serving') {
				leavingSince.delete(id);
			} else if (!leavingSince.has(id)) {
				leavingSince.set(id, clock.now());
			}
		}

		if (archives.map(archive => describe(archive)).join(', ') !== previous) {
			options.onEvent({kind: 'archives', source, archives: archives.map(archive => describe(archive))});
		}
	}

	/** Takes over a list unless a newer one is known. Returns its archives; undefined if an entry is invalid. */
	function adopt(list: ObjectList): readonly ListedArchive[] | undefined {
		const archives = list.objects.flatMap(object => decodeArchive(object) ?? []);
		if (revision === undefined || list.revision >= revision) {
			({revision} = list);
			setKnown(archives, 'store');
		}

		if (archives.length === list.objects.length) {
			return archives;
		}

		for (const object of list.objects.filter(entry => !decodeArchive(entry))) {
			options.onEvent({kind: 'archive-unreadable', archive: object.name});
		}

		return undefined;
	}

	async function readStale(): Promise<boolean> {
		const list = await store.listStale(archiveKind);
		if (list.isErr()) {
			if (failures === 0) {
				options.onEvent({kind: 'archives-unavailable', reason: list.error.message});
			}

			failures++;
			return false;
		}

		failures = 0;
		adopt(list.value);
		return true;
	}

	/** Peers in the order in which they are asked: those of the own data centre first. */
	function peersToAsk(): readonly Member[] {
		const {id, dataCentre} = options.self();
		const others = options.members().filter(member => member.id !== id && member.status === 'alive');
		const isNear = (member: Member) => member.dataCentre === dataCentre;
		return [...others.filter(member => isNear(member)), ...others.filter(member => !isNear(member))].slice(0, maximumPeersAsked);
	}

	async function askPeers(): Promise<void> {
		for (const peer of peersToAsk()) {
			const reply = await options.peers.request(peer.address, {kind: 'archives'}, {timeout: as<Milliseconds>(peerTimeoutMs), attempts: 1});
			if (known) {
				return;
			}

			if (reply?.kind === 'archives' && reply.archives) {
				setKnown(reply.archives, 'peer');
				return;
			}
		}
	}

	async function refresh(): Promise<void> {
		const reading = readStale();
		if (!known && !await withTimeout(clock, storePatienceMs, reading)) {
			await askPeers();
		}

		await reading;
	}

	/** Reads once the interval since the last read has passed; whoever asks until then shares the read. */
	async function readWhenDue(): Promise<readonly ListedArchive[] | undefined> {
		await clock.sleep(as<Milliseconds>(Math.max(0, nextReadAt - clock.now())));
		queuedRead = undefined;
		nextReadAt = as<Milliseconds>(clock.now() + consistentIntervalMs);
		const list = await store.list(archiveKind);
		if (list.isErr()) {
			options.onEvent({kind: 'archives-unavailable', reason: list.error.message});
			return undefined;
		}

		return adopt(list.value);
	}

	function interval(): number {
		if (!known) {
			return Math.min(urgentIntervalMs, firstRetryMs * (2 ** (failures - 1)));
		}

		return options.isSufficient(known)
			? refreshIntervalMs * (1 - refreshJitter + (2 * refreshJitter * options.random.fraction()))
			: urgentIntervalMs;
	}

	return {
		known: () => known,
		async obtain(timeLeft) {
			if (!known) {
				await withTimeout(clock, Math.min(timeLeft, failures === 0 ? firstReadPatienceMs : failingPatienceMs), firstKnown.promise);
			}

			return known;
		},
		async readConsistently() {
			queuedRead ??= readWhenDue();
			return queuedRead;
		},
		isDrained({id, state}) {
			switch (state) {
				case 'serving': {
					return false;
				}

				case 'leaving': {
					const since = leavingSince.get(id);
					return since !== undefined && clock.now() - since > longestRetention;
				}

				case 'left': {
					return true;
				}

				// It may live, and hold what was kept there since.
				case 'presumed-gone': {
					return false;
				}
			}
		},
		answer: () => ({kind: 'archives', archives: known}),
		async run(signal) {
			while (!signal.aborted) {
				const retention = options.retention();
				if (retention !== undefined) {
					longestRetention = as<Milliseconds>(Math.max(longestRetention, retention));
					await refresh();
				}

				await clock.sleep(as<Milliseconds>(retention === undefined ? idleIntervalMs : interval()), signal);
			}
		},
	};
}
