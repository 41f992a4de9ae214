#!/usr/bin/env node
/**
Hickoryfork-entry: one entry instance. Reads its settings, connects the links, serves callers, peers
and operators, and stops gracefully.

A planned stop (SIGTERM, SIGINT or the drain order) tells peers, finishes every call, gives the shards
up and exits with 0. A second signal, or the deadline of the settings, ends it at once with 1.
*/
import {setMaxListeners} from 'node:events';
import {type Server} from 'node:http';
import process from 'node:process';
import meow from 'meow';
import {createDeferred} from '../contracts/deferred.js';
import {
	as, type Address, type Incarnation, type Milliseconds,
} from '../contracts/id.js';
import {serveCallers} from '../links/caller.js';
import {createDispatch} from '../links/dispatch.js';
import {createLog, type Log, logEvent} from '../links/log.js';
import {createMetrics} from '../links/metrics.js';
import {serveOperators} from '../links/operator.js';
import {createPeers, servePeers} from '../links/peer.js';
import {createPlatform} from '../links/platform.js';
import {createInstance, type Instance} from '../machines/instance.js';
import {type InstanceEvent} from '../machines/instance-event.js';
import {
	listenForStopSignals, type StopSignals, systemClock, systemRandom,
} from './runtime.js';
import {readSettings, type Settings} from './settings.js';

/** Time for which callers are still accepted after peers have been told, so that balancers notice. */
const settleMs = 200;

const cli = meow(`
	Usage
	  $ hickoryfork-entry --settings FILE

	Options
	  --settings FILE  settings in TOML
	  --check          validate the settings and exit

	Signals
	  SIGTERM, SIGINT  planned stop; a second one ends the process at once
	  SIGUSR2          write a state dump to the log
`, {
	importMeta: import.meta,
	flags: {
		settings: {type: 'string', isRequired: true},
		check: {type: 'boolean', default: false},
	},
});

function createEntry(settings: Settings, log: Log, signal: AbortSignal, onEvent: (event: InstanceEvent) => void): Instance {
	return createInstance({
		id: settings.id,
		dataCentre: settings.dataCentre,
		address: as<Address>(`${settings.peers.host}:${settings.peers.port}`),
		incarnation: as<Incarnation>(systemClock.wall()),
		seeds: settings.peers.seeds,
		policy: settings.policy,
		commitWindow: settings.commitWindow,
		platform: createPlatform({address: settings.platform, signal}),
		peers: createPeers({token: settings.peers.token, signal}),
		dispatch: createDispatch(signal),
		clock: systemClock,
		random: systemRandom,
		onEvent(event) {
			onEvent(event);
			logEvent(log, event);
		},
	});
}

function closeAll(servers: readonly Server[]): void {
	for (const server of servers) {
		server.close();
		server.closeAllConnections();
	}
}

async function serve(settings: Settings, log: Log): Promise<number> {
	const stops = listenForStopSignals();
	const stopped = new AbortController();
	// Every control loop listens to this one signal.
	setMaxListeners(0, stopped.signal);
	const drainOrder = createDeferred<string>();
	const instance = createEntry(settings, log, stopped.signal, event => {
		metrics.count(event);
	});
	const metrics = createMetrics(() => instance.gauges());
	const peers = await servePeers({instance, ...settings.peers});
	const operators = await serveOperators({
		instance,
		metrics,
		...settings.operators,
		onDrain() {
			drainOrder.resolve('drain order');
		},
	});
	const callers = await serveCallers({
		instance,
		customers: settings.customers,
		random: systemRandom,
		...settings.callers,
		onRequest(request) {
			metrics.observe(request);
			log.debug({event: 'request', ...request}, 'request');
		},
	});
	process.on('SIGUSR2', () => {
		log.info({event: 'dump', state: instance.dump()}, 'state dump');
	});
	log.info({
		event: 'started', callers: settings.callers, peers: settings.peers.port, operators: settings.operators.port,
	}, 'started');
	const running = instance.run(stopped.signal);

	const reason = await Promise.race([stops.next(), drainOrder.promise]);
	log.info({event: 'stopping', reason}, 'planned stop');
	const graceful = async () => {
		await instance.leave();
		await systemClock.sleep(as<Milliseconds>(settleMs));
		await callers.drain();
		return 0;
	};

	const code = await Promise.race([graceful(), forced(settings, stops)]);
	stopped.abort(new Error('stopped'));
	closeAll([callers.server, peers, operators]);
	if (code === 0) {
		await running;
	}

	log.info({event: 'stopped', code}, 'stopped');
	return code;
}

/** Resolves when a stop has to be cut short: at the deadline or on a second signal. */
async function forced(settings: Settings, stops: StopSignals): Promise<number> {
	await Promise.race([stops.next(), systemClock.sleep(settings.stopDeadline)]);
	return 1;
}

const settings = readSettings(cli.flags.settings);
if (settings.isErr()) {
	console.error(settings.error.message);
	process.exitCode = 2;
} else if (cli.flags.check) {
	console.log(`${cli.flags.settings}: valid`);
} else {
	const log = createLog('hickoryfork-entry', settings.value.id, settings.value.logLevel);

	process.exit(await serve(settings.value, log));
}
