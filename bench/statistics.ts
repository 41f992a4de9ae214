/**
Percentiles and straight-line fits.
*/
import {build} from 'hdr-histogram-js';

/** The histogram holds integers, so values are recorded in thousandths. */
const stepsPerUnit = 1000;

/** Percentiles of values, with a resolution of a thousandth and three significant digits; zero if there are no values. */
export function percentiles(values: readonly number[]): {readonly p50: number; readonly p95: number; readonly p99: number; readonly count: number} {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(1, Math.round(value * stepsPerUnit)));
	}

	const at = (percentile: number) => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / stepsPerUnit;
	return {
		p50: at(50), p95: at(95), p99: at(99), count: values.length,
	};
}

export type Point = {readonly x: number; readonly y: number};

export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Largest vertical distance of a point from the line, as a share of the largest absolute value. */
	readonly residual: number;
};

/** Fits a line to points by least squares. */
export function fitLine(points: readonly Point[]): Line {
	const count = points.length;
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
	const spread = points.reduce((sum, point) => sum + ((point.x - meanX) ** 2), 0);
	const slope = spread === 0 ? 0 : points.reduce((sum, point) => sum + ((point.x - meanX) * (point.y - meanY)), 0) / spread;
	const intercept = meanY - (slope * meanX);
	const largest = Math.max(...points.map(point => Math.abs(point.y)), Number.MIN_VALUE);
	const residual = Math.max(...points.map(point => Math.abs(point.y - intercept - (slope * point.x)))) / largest;
	return {intercept, slope, residual};
}
