/**
Demo: a cluster of four data centres on the loopback interface runs an agent program that prepares a quote: chained
model calls, a stock lookup, a reservation that is sent three times and must run once, a sub-agent and a stream that
is resumed at another entry. Prints what ran where, and exits.
*/
import {z} from 'zod';
import {
	callerKey, type Cluster, type Entry, fetchJson, startCluster,
} from './cluster.js';

const programBody = z.object({
	id: z.string(), status: z.string(), turns: z.number(), spent: z.object({tokens: z.number(), calls: z.number()}),
});
const completionBody = z.object({choices: z.array(z.object({message: z.object({content: z.string()})})), usage: z.object({total_tokens: z.number()})});
const executionsBody = z.array(z.object({service: z.string(), path: z.string(), key: z.string()}));
const explanationBody = z.object({instance: z.string(), events: z.array(z.object({kind: z.string(), endpoint: z.string().optional(), detail: z.string()}))});

const print = (text: string) => {
	console.log(text);
};

async function sendRequest(entry: Entry, method: string, path: string, options: {readonly body?: unknown; readonly headers?: Record<string, string>} = {}): Promise<unknown> {
	const response = await fetch(`http://${entry.address}${path}`, {
		method,
		headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json', ...options.headers},
		...(options.body !== undefined && {body: JSON.stringify(options.body)}),
	});
	if (!response.ok) {
		throw new Error(`${method} ${path} at ${entry.id} answered ${response.status}: ${await response.text()}`);
	}

	return response.json();
}

async function completeChat(entry: Entry, program: string, question: string): Promise<string> {
	const reply = completionBody.parse(await sendRequest(entry, 'POST', '/v1/chat/completions', {
		headers: {'hickoryfork-program': program},
		body: {model: 'quotes', max_tokens: 64, messages: [{role: 'user', content: question}]},
	}));
	const words = reply.choices[0]?.message.content.trim().split(' ') ?? [];
	return `${words.length} tokens, ${reply.usage.total_tokens} with the prompt`;
}

/** Streams an answer, disconnects after some tokens and resumes the stream at another entry. */
async function resumeAtOtherEntry(first: Entry, second: Entry, program: string): Promise<string> {
	const key = 'streamed-answer';
	const response = await fetch(`http://${first.address}/v1/chat/completions`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${callerKey}`, 'hickoryfork-program': program, 'idempotency-key': key,
		},
		body: JSON.stringify({
			model: 'quotes', max_tokens: 64, stream: true, messages: [{role: 'user', content: 'Write the quote [[tokens=40]]'}],
		}),
	});
	const reader = response.body?.pipeThrough(new TextDecoderStream()).getReader();
	let text = '';
	while (text.split('id: ').length <= 10) {
		const part = await reader?.read();
		text += part?.value ?? '';
	}

	await reader?.cancel();

	const receivedIds = [...text.matchAll(/id: (\S+)/gv)].map(match => match[1] ?? '');
	const resumption = await fetch(`http://${second.address}/v1/programs/${program}/calls/${key}`, {
		headers: {authorization: `Bearer ${callerKey}`, accept: 'text/event-stream', 'last-event-id': receivedIds.at(-1) ?? ''},
	});
	const remainder = await resumption.text();
	const resumedIds = [...remainder.matchAll(/id: (\S+)/gv)].map(match => match[1] ?? '');
	const indexes = [...receivedIds, ...resumedIds].map(id => Number(id.split('.')[1]));
	const isWhole = indexes.every((index, position) => index === position);
	return `${receivedIds.length} tokens at ${first.id}, ${resumedIds.length} at ${second.id}, ${isWhole ? 'none missing or duplicated' : 'SOME MISSING OR DUPLICATED'}`;
}

/** Lists the executions with an idempotency key in the logs of the services, as service and path. */
async function listExecutions(cluster: Cluster, key: string): Promise<string[]> {
	const logs = await Promise.all(cluster.services.map(async service => executionsBody.parse(await fetchJson(`http://${service.address}/control/executions`))));
	return logs.flat().filter(execution => execution.key === key).map(execution => `${execution.service} ${execution.path}`);
}

async function printExplanations(cluster: Cluster, program: string): Promise<void> {
	for (const entry of cluster.entries) {
		const explanation = explanationBody.parse(await fetchJson(`http://${entry.operators}/explain/${program}`));
		for (const event of explanation.events) {
			print(`  ${explanation.instance}: ${event.kind} ${event.endpoint ?? ''} (${event.detail})`);
		}
	}
}

async function runProgram(cluster: Cluster): Promise<void> {
	const [first, second, third, fourth] = [0, 2, 4, 6].map(index => cluster.entries[index]);
	if (!first || !second || !third || !fourth) {
		throw new Error('The demo needs at least seven entries');
	}

	const program = programBody.parse(await sendRequest(first, 'POST', '/v1/programs', {body: {budget: {tokens: 20_000, calls: 20, duration_ms: 600_000}}}));
	print(`program ${program.id} opened at ${first.id}`);
	print(`question at ${second.id}: ${await completeChat(second, program.id, 'How many mirror blanks do we need?')}`);
	print(`stock lookup at ${third.id}: ${JSON.stringify(await sendRequest(third, 'GET', `/v1/programs/${program.id}/services/stock/blanks/42`))}`);
	print(`second question at ${fourth.id}: ${await completeChat(fourth, program.id, 'Is that enough for Tuesday?')}`);

	const child = programBody.parse(await sendRequest(second, 'POST', `/v1/programs/${program.id}/programs`, {}));
	print(`sub-agent ${child.id}: ${await completeChat(third, child.id, 'Compare two suppliers')}`);
	await sendRequest(fourth, 'POST', `/v1/programs/${child.id}/close`);

	const key = 'reserve-42';
	const reserve = async (entry: Entry) => sendRequest(entry, 'POST', `/v1/programs/${program.id}/services/reservations/blanks/42`, {headers: {'idempotency-key': key}, body: {count: 10}});
	const answers = await Promise.all([reserve(first), reserve(second), reserve(third)]);
	print(`reservation sent three times, distinct answers: ${new Set(answers.map(answer => JSON.stringify(answer))).size}`);
	const executions = await listExecutions(cluster, key);
	print(`executions in the services' logs: ${executions.length} (${executions.join(', ')})`);
	print(`streamed answer: ${await resumeAtOtherEntry(first, fourth, program.id)}`);

	const closed = programBody.parse(await sendRequest(third, 'POST', `/v1/programs/${program.id}/close`));
	print(`program ${closed.status} after ${closed.turns} calls and ${closed.spent.tokens} tokens, sub-agent included`);
	print('events of its calls, by entry:');
	await printExplanations(cluster, program.id);
	if (executions.length !== 1) {
		throw new Error(`The reservation ran ${executions.length} times instead of once`);
	}
}

const cluster = await startCluster({
	dataCentres: ['padova', 'vicenza', 'treviso', 'verona'], entriesPerDataCentre: 2, enginesPerDataCentre: 1, servicesPerDataCentre: 1,
});
try {
	await cluster.configure();
	await cluster.ready();
	print(`${cluster.entries.length} entries, ${cluster.engines.length} engines and ${cluster.services.length} services in 4 data centres`);
	await runProgram(cluster);
} finally {
	await cluster.stop();
}
