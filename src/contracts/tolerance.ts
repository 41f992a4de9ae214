/**
What kept turns have to outlast: the number of machines with a disk, and of data centres, that may be lost together.
*/

export type Tolerance = {
	readonly machines: number;
	readonly dataCentres: number;
};

/** Copies of a turn that outlast these losses: one more than are lost, over one data centre more than are lost. */
export function copiesFor({machines, dataCentres}: Tolerance): CopyRequirement {
	return {copies: Math.max(machines, dataCentres) + 1, dataCentres: dataCentres + 1};
}

export type CopyRequirement = {
	readonly copies: number;
	/** Minimum number of data centres that the copies are in. */
	readonly dataCentres: number;
};
