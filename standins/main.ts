#!/usr/bin/env node
/**
`hickoryfork-standins`: runs one stand-in as a process of its own, for demos, tests and experiments.
*/
import process from 'node:process';
import meow from 'meow';
import {startEngine} from './engine.js';
import {startPlatform} from './platform.js';
import {startService} from './service.js';

const cli = meow(`
	Usage
	  $ hickoryfork-standins <platform|engine|service> --port PORT

	Options
	  --port PORT        loopback port to listen on
	  --id ID            id of the engine or service
	  --step-ms N        duration of one engine step in ms, 5 by default
	  --batch N          sequences that an engine runs at once, 8 by default
	  --cache-tokens N   capacity of an engine's prefix cache in tokens, 200000 by default
	  --checks-fencing   the engine refuses orders with an outdated fencing number
	  --list-lag-ms N    delay of changes to the platform's instance list in ms, 0 by default
`, {
	importMeta: import.meta,
	flags: {
		port: {type: 'number', isRequired: true},
		id: {type: 'string', default: 'stand-in'},
		stepMs: {type: 'number', default: 5},
		batch: {type: 'number', default: 8},
		cacheTokens: {type: 'number', default: 200_000},
		checksFencing: {type: 'boolean', default: false},
		listLagMs: {type: 'number', default: 0},
	},
});

/** Starts a stand-in. Resolves to false if its kind is unknown. */
async function startStandIn(kind: string): Promise<boolean> {
	const {flags} = cli;
	switch (kind) {
		case 'platform': {
			await startPlatform({port: flags.port, listLagMs: flags.listLagMs});
			return true;
		}

		case 'engine': {
			await startEngine({
				id: flags.id,
				port: flags.port,
				stepMs: flags.stepMs,
				batchSize: flags.batch,
				cacheTokens: flags.cacheTokens,
				checksFencing: flags.checksFencing,
			});
			return true;
		}

		case 'service': {
			await startService({id: flags.id, port: flags.port});
			return true;
		}

		default: {
			return false;
		}
	}
}

if (await startStandIn(cli.input[0] ?? '')) {
	console.log(JSON.stringify({standIn: cli.input[0], id: cli.flags.id, port: cli.flags.port}));
} else {
	console.error('Unknown or missing stand-in: expected platform, engine or service');
	process.exitCode = 2;
}
