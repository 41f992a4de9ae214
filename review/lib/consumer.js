/**
Stand-in for consumers: sends a request on a new channel of a machine, and reads its answer as it arrives.
*/
import {randomBytes} from 'node:crypto';
import {request as httpRequest} from 'node:http';

export const newId = () => randomBytes(8).toString('hex');

/** Resolves to the status (0 if the channel ended without an answer), the complete events, and whether the answer ended as complete. */
export function send(machine, {method = 'POST', host, path, headers = {}, body = '', timeoutMs = 5000}) {
	const [ip, port] = machine.front.split(':');
	const attempt = newId();
	return new Promise(resolve => {
		let text = '';
		let status = 0;
		let answerHeaders = {};
		const finish = isComplete => {
			clearTimeout(timer);
			resolve({
				attempt, machine: machine.name, status, headers: answerHeaders, isComplete, text, events: [...text.matchAll(/^id: (\d+)\n.*\n\n/gmv)].map(match => Number(match[1])),
			});
		};

		const request = httpRequest({
			host: ip, port, method, path, agent: false, headers: {
				host, 'attempt-id': attempt, 'deadline-ms': String(timeoutMs), ...(body !== '' && {'content-length': body.length}), ...headers,
			},
		}, response => {
			status = response.statusCode;
			answerHeaders = response.headers;
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.on('end', () => {
				finish(response.complete);
			});
			response.on('error', () => {
				finish(false);
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
		}, timeoutMs);
		request.on('error', () => {
			finish(false);
		});
		request.on('close', () => {
			finish(false);
		});
		request.end(body);
	});
}
