#!/usr/bin/env node
/**
Command-line tool for operators, `hickoryforkctl`.
*/
import process from 'node:process';
import meow from 'meow';
import {err, type Result} from 'neverthrow';
import {type Failure, failure} from '../contracts/failure.js';
import {as, type Address} from '../contracts/id.js';
import {type Platform} from '../contracts/platform.js';
import {createPlatform} from '../links/platform.js';
import {
	apply, queryInstance, check, get, status, type Table,
} from './commands.js';

const cli = meow(`
	Usage
	  $ hickoryforkctl check ROUTES POOLS
	  $ hickoryforkctl get <routes|pools> --platform ADDRESS
	  $ hickoryforkctl apply <routes|pools> FILE --platform ADDRESS
	  $ hickoryforkctl status --platform ADDRESS
	  $ hickoryforkctl dump --operators ADDRESS
	  $ hickoryforkctl drain --operators ADDRESS
	  $ hickoryforkctl explain PROGRAM --operators ADDRESS [--operators ADDRESS …]

	Options
	  --platform ADDRESS   IP address and port of the platform
	  --operators ADDRESS  operator address of an instance
`, {
	importMeta: import.meta,
	flags: {
		platform: {type: 'string'},
		operators: {type: 'string', isMultiple: true, default: []},
	},
});

function usage(message: string): Result<never, Failure> {
	return err(failure('invalid-request', `${message}; see hickoryforkctl --help`, {step: 'validate', peer: 'operator'}));
}

function toTable(text: string | undefined): Table | undefined {
	return text === 'routes' || text === 'pools' ? text : undefined;
}

async function withPlatform(run: (platform: Platform) => Promise<Result<string, Failure>>): Promise<Result<string, Failure>> {
	const {platform: address} = cli.flags;
	if (address === undefined) {
		return usage('--platform is missing');
	}

	const done = new AbortController();
	const result = await run(createPlatform({address: as<Address>(address), signal: done.signal}));
	done.abort();
	return result;
}

async function queryOperators(method: 'GET' | 'POST', path: string): Promise<Result<string, Failure>> {
	const {operators} = cli.flags;
	if (operators.length === 0) {
		return usage('--operators is missing');
	}

	let all: Result<string, Failure> | undefined;
	for (const address of operators) {
		const answer = await queryInstance(as<Address>(address), method, path);
		all = all ? all.andThen(text => answer.map(next => `${text}\n${next}`)) : answer;
	}

	return all ?? usage('--operators is missing');
}

async function run(command: string, first: string | undefined, second: string | undefined): Promise<Result<string, Failure>> {
	const table = toTable(first);
	switch (command) {
		case 'check': {
			return first === undefined || second === undefined ? usage('check needs two files') : check(first, second);
		}

		case 'get': {
			return table ? withPlatform(async platform => get(platform, table)) : usage('Name a table: routes or pools');
		}

		case 'apply': {
			return table && second !== undefined ? withPlatform(async platform => apply(platform, table, second)) : usage('apply needs a table and a file');
		}

		case 'status': {
			return withPlatform(async platform => status(platform));
		}

		case 'dump': {
			return queryOperators('GET', '/dump');
		}

		case 'drain': {
			return queryOperators('POST', '/drain');
		}

		case 'explain': {
			return first === undefined ? usage('explain needs a program id') : queryOperators('GET', `/explain/${first}`);
		}

		default: {
			return usage(`Unknown command "${command}"`);
		}
	}
}

const [command = '', first, second] = cli.input;
const result = await run(command, first, second);
result.match(text => {
	console.log(text);
}, reason => {
	console.error(`${reason.code} at ${reason.step} (${reason.peer}): ${reason.message}`);
	process.exitCode = reason.code === 'invalid-request' ? 2 : 1;
});
