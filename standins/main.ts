#!/usr/bin/env node
/**
Hickoryfork-standins: one stand-in as a process of its own, for demos, tests and experiments.
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
	  --port PORT        loopback port
	  --id ID            name of the engine or service
	  --step-ms N        time of one engine step
	  --batch N          sequences of one engine step
	  --cache-tokens N   tokens that an engine's prefix cache holds
	  --checks-fencing   the engine refuses orders with an old fencing number
	  --list-lag-ms N    age of the platform's instance list
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

async function start(kind: string): Promise<boolean> {
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

if (await start(cli.input[0] ?? '')) {
	console.log(JSON.stringify({standIn: cli.input[0], id: cli.flags.id, port: cli.flags.port}));
} else {
	console.error('Name a stand-in: platform, engine or service');
	process.exitCode = 2;
}
