/**
Sends attempts over the link of their kind: to an engine or to a service.
*/
import {Agent} from 'undici';
import {type Dispatch} from '../contracts/attempt.js';
import {createBoundedConnector} from './bounded-socket.js';
import {createEngineLink} from './engine.js';
import {createServiceLink} from './service.js';

const connectTimeoutMs = 1000;
const probeTimeoutMs = 800;

/** Creates the links to back ends. Connections close when the signal aborts. */
export function createDispatch(signal: AbortSignal): Dispatch {
	const connect = createBoundedConnector({timeout: connectTimeoutMs});
	const agent = new Agent({connect});
	// Without pipelining, undici closes a connection after its first response.
	const singleUseAgent = new Agent({connect, pipelining: 0});
	signal.addEventListener('abort', () => {
		void agent.destroy();
		void singleUseAgent.destroy();
	}, {once: true});
	const engine = createEngineLink(agent);
	const service = createServiceLink({shared: agent, own: singleUseAgent});

	return {
		async send(endpoint, attempt, options) {
			switch (attempt.request.kind) {
				case 'model': {
					return engine.send(endpoint, attempt, options);
				}

				case 'service': {
					return service.send(endpoint, attempt, options);
				}
			}
		},
		resume: engine.resume,
		release: engine.release,
		cachedPrograms: engine.cachedPrograms,
		async probe(endpoint) {
			try {
				const response = await agent.request({
					origin: `http://${endpoint.address}`, path: '/health', method: 'GET', signal: AbortSignal.timeout(probeTimeoutMs),
				});
				await response.body.dump();
				return response.headers['x-leaving'] === 'true' ? 'leaving' : 'live';
			} catch {
				// A missing response does not show whether the endpoint is leaving; its health is judged by failed calls.
				return undefined;
			}
		},
	};
}
