/**
Formats the results of experiments as a Markdown table and as an HTML page with bar charts.
*/
import {type Measures} from './experiments.js';

type Row = {readonly name: string; readonly target: string; readonly value: (measures: Measures) => number; readonly isShare: boolean};

const rows: readonly Row[] = [
	{
		name: 'latency p50 / ideal', target: '≤ 1.15', value: measures => measures.latency.p50, isShare: false,
	},
	{
		name: 'latency p95 / ideal', target: '', value: measures => measures.latency.p95, isShare: false,
	},
	{
		name: 'latency p99 / ideal', target: '≤ 2', value: measures => measures.latency.p99, isShare: false,
	},
	{
		name: 'prompt tokens computed again', target: '< 5%', value: measures => measures.wastedCache, isShare: true,
	},
	{
		name: 'burst: in time, of all programs', target: '', value: measures => measures.crest, isShare: true,
	},
	{
		name: 'burst: in time, of those within capacity', target: '≥ 95%', value: measures => measures.crestOfCapacity, isShare: true,
	},
	{
		name: 'head-of-line blocking: p95 with / without stragglers', target: '≤ 1.25', value: measures => measures.headOfLine, isShare: false,
	},
	{
		name: 'p99 with / without slow engines', target: '≤ 1.3', value: measures => measures.slowedTail, isShare: false,
	},
	{
		name: 'failed programs', target: '', value: measures => measures.failed / measures.programs, isShare: true,
	},
	{
		name: 'prefixes held for ended programs', target: '0', value: measures => measures.heldAfterwards, isShare: false,
	},
	{
		name: 'reservations run more than once', target: '0', value: measures => measures.repeated, isShare: false,
	},
];

function formatValue(row: Row, measures: Measures): string {
	const value = row.value(measures);
	return row.isShare ? `${(value * 100).toFixed(1)}%` : value.toFixed(2);
}

/** Formats a Markdown table with a row for each measure and a column for each policy. */
export function formatTable(all: readonly Measures[]): string {
	const head = `| measure | target | ${all.map(measures => measures.policy).join(' | ')} |`;
	const separator = `|---|---|${all.map(() => '---').join('|')}|`;
	const body = rows.map(row => `| ${row.name} | ${row.target} | ${all.map(measures => formatValue(row, measures)).join(' | ')} |`);
	return [head, separator, ...body].join('\n');
}

/** Formats an HTML page with a bar chart for each measure. */
export function formatPage(title: string, all: readonly Measures[]): string {
	const sections = rows.map(row => {
		const largest = Math.max(...all.map(measures => row.value(measures)), Number.MIN_VALUE);
		const bars = all.map((measures, index) => {
			const width = Math.max(1, (row.value(measures) / largest) * 400);
			const y = index * 24;
			return [
				`<rect x="120" y="${y}" width="${width}" height="18" fill="#4a7"/>`,
				`<text x="0" y="${y + 14}">${measures.policy}</text>`,
				`<text x="${130 + width}" y="${y + 14}">${formatValue(row, measures)}</text>`,
			].join('');
		});
		return `<h2>${row.name} ${row.target && `(target ${row.target})`}</h2><svg width="640" height="${all.length * 24}" font-family="sans-serif" font-size="13">${bars.join('')}</svg>`;
	});
	return `<!doctype html><meta charset="utf-8"><title>${title}</title><h1>${title}</h1>${sections.join('')}`;
}
