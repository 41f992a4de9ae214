/**
Median of observed values.
*/

/** The lower median, or undefined when there are no values. */
export function median(values: readonly number[]): number | undefined {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)];
}
