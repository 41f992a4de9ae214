// Import direction: contracts <- machines, zones <- links <- programs, platform. No decision imports a
// link, and nothing but the platform's own folder imports it.
const restrict = (files, folders) => ({
	files,
	rules: {
		'no-restricted-imports': ['error', {patterns: folders.map(folder => ({regex: `/${folder}/`, message: `This folder must not import from ${folder}.`}))}],
	},
});

// Constructs that the shape of the code rules out.
const shape = [
	{selector: 'ClassDeclaration', message: 'Use a factory function that closes over its state.'},
	{selector: 'ClassExpression', message: 'Use a factory function that closes over its state.'},
	{selector: 'ImportDeclaration[source.value=/worker_threads|cluster$/]', message: 'One loop on one thread.'},
	{
		selector: 'CallExpression[callee.object.name="AbortSignal"][callee.property.name="any"] CallExpression[callee.object.name="AbortSignal"][callee.property.name="timeout"]',
		message: 'The time-out may be collected before it aborts; use withinTimeLimit.',
	},
];

export default [
	{ignores: ['dist/**', 'target/**', 'journal/**']},
	{
		rules: {
			'no-restricted-syntax': ['error', ...shape],
			// Sequential waits are the point of ordered calls, probing and replay.
			'no-await-in-loop': 'off',
		},
	},
	// Wire formats set by others use snake case.
	{files: ['src/links/**', 'platform/**', 'standins/**', 'tests/**', 'bench/**'], rules: {'@typescript-eslint/naming-convention': 'off', camelcase: 'off'}},
	// The runner of node:test collects the promises of top-level tests.
	{files: ['tests/**'], rules: {'@typescript-eslint/no-floating-promises': 'off'}},
	restrict(['src/contracts/**'], ['machines', 'zones', 'links', 'programs', 'platform', 'standins', 'bench', 'tests']),
	restrict(['src/machines/**', 'src/zones/**'], ['links', 'programs', 'platform', 'standins', 'bench', 'tests']),
	restrict(['src/links/**'], ['programs', 'platform', 'standins', 'bench', 'tests']),
	restrict(['src/programs/**'], ['platform', 'standins', 'bench', 'tests']),
	restrict(['platform/**'], ['standins', 'bench', 'tests']),
];
