/**
Manifest of the small deployments: one route for turns of programs, with the figures of the small sites' sheets.
*/
export const host = 'agents.example';
export const service = 'lm-pool';
export const stride = 3;
export const retentionS = 60;

/** Returns the manifest of a version. */
export const manifestOf = version => ({
	Version: version,
	Routes: [{
		Name: 'turns', Host: host, PathPrefix: '/turns/', Kind: 'streaming', TimeoutMs: 5000, LatencyGoalMs: 250, Priority: 0, Service: service,
		MaxAttempts: 1, Retained: false, RetentionS: retentionS, Sticky: true, Resumable: true, GapGoalMs: 250,
	}],
	Services: [{
		Name: service, HealthPath: '/health', MaxConns: 443, Protocol: 'h1', Tls: false, Engine: {
			Slots: 24, KvCapacityTokens: 230_970, KvTokenBytes: 18_432, LinkMbps: 180_000, Moves: true, Backups: true, Stride: stride, Models: [{Name: 'm'}],
		},
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
});
