#!/usr/bin/env node
/**
Process of one entry instance, `hickoryfork-entry`. Reads the settings, connects the links, serves callers, peers
and operators, and shuts down gracefully.

A graceful shutdown (SIGTERM, SIGINT or the drain command) notifies peers, completes every call, gives up
the shards and exits with code 0. A second signal, or the stop deadline in the settings, ends the process at
once with code 1.
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
import {createClientLog} from '../links/client-log.js';
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

/** How long callers are still accepted after peers were notified, so that load balancers notice the shutdown. */
const drainDelayMs = 200;

const cli = meow(`
	Usage
	  $ hickoryfork-entry --settings FILE

	Options
	  --settings FILE  settings in TOML
	  --check          validate the settings and exit

	Signals
	  SIGTERM, SIGINT  shut down gracefully; a second signal ends the process at once
	  SIGUSR2          write a state dump to the log
`, {
	importMeta: import.meta,
	flags: {
		settings: {type: 'string', isRequired: true},
		check: {type: 'boolean', default: false},
	},
});

function createEntryInstance(settings: Settings, log: Log, signal: AbortSignal, onEvent: (event: InstanceEvent) => void): Instance {
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

function closeServers(servers: readonly Server[]): void {
	for (const server of servers) {
		server.close();
		server.closeAllConnections();
	}
}

async function serve(settings: Settings, log: Log): Promise<number> {
	const stopSignals = listenForStopSignals();
	const stopped = new AbortController();
	// Every control loop adds a listener to this signal, more than the default limit allows.
	setMaxListeners(0, stopped.signal);
	const drainRequest = createDeferred<string>();
	const instance = createEntryInstance(settings, log, stopped.signal, event => {
		metrics.count(event);
	});
	const metrics = createMetrics(() => instance.gauges(), () => callers.gauges());
	const logClient = createClientLog(log);
	const peers = await servePeers({instance, ...settings.peers});
	const operators = await serveOperators({
		instance,
		metrics,
		...settings.operators,
		onDrain() {
			drainRequest.resolve('drain order');
		},
	});
	const callers = await serveCallers({
		instance,
		customers: settings.customers,
		random: systemRandom,
		...settings.callers,
		limits: settings.callerLimits,
		onProblem(problem) {
			const event = {kind: 'client', listener: 'callers', problem} as const;
			metrics.count(event);
			logClient(event);
		},
		onRequest(request) {
			metrics.observe(request);
			log.debug({event: 'request', ...request}, `${request.method} ${request.path} completed with status ${request.status}`);
		},
	});
	process.on('SIGUSR2', () => {
		log.info({event: 'dump', state: instance.dump()}, 'state dump');
	});
	log.info({
		event: 'started', callers: settings.callers, peers: settings.peers.port, operators: settings.operators.port,
	}, `started; callers connect to ${settings.callers.host}:${settings.callers.port}`);
	const running = instance.run(stopped.signal);

	const reason = await Promise.race([stopSignals.next(), drainRequest.promise]);
	log.info({event: 'stopping', reason}, `graceful shutdown started: ${reason}`);
	const gracefulStop = async () => {
		await instance.leave();
		await systemClock.sleep(as<Milliseconds>(drainDelayMs));
		await callers.drain();
		return 0;
	};

	const code = await Promise.race([gracefulStop(), forcedStop(settings, stopSignals)]);
	stopped.abort(new Error('stopped'));
	closeServers([callers.server, peers, operators]);
	if (code === 0) {
		await running;
	}

	log.info({event: 'stopped', code}, `stopped with exit code ${code}`);
	return code;
}

/** Resolves with the exit code when the shutdown has to be cut short: at the deadline or on a second signal. */
async function forcedStop(settings: Settings, stopSignals: StopSignals): Promise<number> {
	await Promise.race([stopSignals.next(), systemClock.sleep(settings.stopDeadline)]);
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
