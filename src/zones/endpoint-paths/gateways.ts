/**
Instances that reach endpoints while this one does not, and let it open tunnels. Those of its own data centre come first; each
endpoint has one of them, so that connections are used again and the load is spread.
*/
import {type Clock, type Random} from '../../contracts/clock.js';
import {
	type Address, type DataCentreId, type EndpointId, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {type RelayDigest} from '../../contracts/relay-digest.js';
import {ownerByRendezvous} from '../../contracts/rendezvous.js';
import {anyOf} from '../any-of.js';
import {type Member} from '../membership.js';
import {createUnresponsivePeers} from '../unresponsive-peers.js';

/** Number of instances that are asked at once, in this data centre and elsewhere. */
const askedPerSearch = 4;

/** Time for which an instance is taken to reach endpoints after it said so, in ms. */
const lifetimeMs = 3000;

export type GatewaysOptions = {
	readonly dataCentre: DataCentreId;
	/** The other live members. */
	readonly others: () => readonly Member[];
	/** Asks a member for its digest; resolves to undefined if it does not reply. */
	readonly ask: (member: Member) => Promise<RelayDigest | undefined>;
	readonly clock: Clock;
	readonly random: Random;
};

export type Gateways = {
	/** The gateway for connections to an endpoint, if one is known. */
	readonly choose: (endpoint: EndpointId) => Address | undefined;
	/** Asks some instances. Resolves once one of them reaches endpoints, or all have been asked. */
	readonly search: () => Promise<void>;
	/** Records that a gateway did not open a tunnel. */
	readonly recordFailure: (gateway: Address) => void;
	readonly count: () => number;
};

/** Creates the gateways of an instance that knows none yet. */
export function createGateways(options: GatewaysOptions): Gateways {
	const {clock, random, dataCentre} = options;
	const known = new Map<InstanceId, {readonly member: Member; readonly at: Milliseconds}>();
	const unresponsive = createUnresponsivePeers<InstanceId>(clock);

	function current(): readonly Member[] {
		for (const [id, {at}] of known) {
			if (clock.now() - at > lifetimeMs) {
				known.delete(id);
			}
		}

		return [...known.values()].map(({member}) => member).filter(({id}) => !unresponsive.has(id));
	}

	function pick(members: readonly Member[]): readonly Member[] {
		return members.map(member => ({member, order: random.fraction()})).toSorted((left, right) => left.order - right.order).slice(0, askedPerSearch).map(({member}) => member);
	}

	/** Returns whether the member reaches endpoints. */
	async function ask(member: Member): Promise<boolean> {
		const digest = await options.ask(member);
		if (!digest) {
			unresponsive.add(member.id);
		}

		const isGateway = digest?.reachesEndpoints === true;
		if (isGateway) {
			known.set(member.id, {member, at: clock.now()});
		} else {
			known.delete(member.id);
		}

		return isGateway;
	}

	return {
		choose(endpoint) {
			const gateways = current();
			const local = gateways.filter(member => member.dataCentre === dataCentre);
			return ownerByRendezvous(local.length > 0 ? local : gateways, ({id}) => id, endpoint)?.address;
		},
		async search() {
			const others = options.others().filter(({id}) => !unresponsive.has(id));
			const asked = [
				...pick(others.filter(member => member.dataCentre === dataCentre)), ...pick(others.filter(member => member.dataCentre !== dataCentre)),
			];
			await anyOf(asked.map(async member => ask(member)));
		},
		recordFailure(gateway) {
			for (const [id, {member}] of known) {
				if (member.address === gateway) {
					unresponsive.add(id);
				}
			}
		},
		count: () => current().length,
	};
}
