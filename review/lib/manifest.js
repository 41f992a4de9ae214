/**
A manifest like those of the users' sites: one streaming route to model engines, and plain routes to a service.
*/
export const host = 'agents.example';

export const streamPath = '/turns/';
export const lookupPath = '/lookup/';
export const bookPath = '/book/';

const streaming = {
	Kind: 'streaming', TimeoutMs: 5000, LatencyGoalMs: 200, Priority: 0, MaxAttempts: 1, Retained: false, RetentionS: 60, Sticky: true, Resumable: true, GapGoalMs: 300,
};

export const limits = {
	MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
};

export const manifest = {
	Version: 7,
	Routes: [
		{
			Name: 'r-turns', Host: host, PathPrefix: streamPath, Service: 'llm', ...streaming,
		},
		{
			Name: 'r-lookup', Host: host, PathPrefix: lookupPath, Service: 'app', Kind: 'idempotent', TimeoutMs: 2000, LatencyGoalMs: 400, Priority: 2, MaxAttempts: 2,
		},
		{
			Name: 'r-book', Host: host, PathPrefix: bookPath, Service: 'app', Kind: 'non_idempotent', TimeoutMs: 6000, LatencyGoalMs: 1200, Priority: 2, MaxAttempts: 1,
		},
	],
	Services: [
		{
			Name: 'llm', HealthPath: '/health', MaxConns: 720, Protocol: 'h1', Tls: false, Engine: {
				Slots: 64, KvCapacityTokens: 356_136, KvTokenBytes: 18_432, Stride: 3, Models: [{Name: 'm'}],
			},
		},
		{
			Name: 'app', HealthPath: '/health', MaxConns: 200, Protocol: 'h1', Tls: false,
		},
	],
	Limits: limits,
};
