/**
Endpoints at which the prompts of programs were last computed and are probably cached. The coordinator of
a program's budget tracks them, because every model call of the program contacts it first. So a turn that arrives at
another entry instance is still sent to the endpoint that has the previous turn cached.
*/
import {type EndpointId, type ProgramId, type PromptPartId} from '../contracts/id.js';

/** The endpoint that computed a prompt up to and including a part. */
export type PromptLocation = {readonly part: PromptPartId; readonly endpoint: EndpointId};

/** Maximum number of locations tracked for a program; each branch of its conversation has one. */
const maximumLocationsPerProgram = 6;

/** Maximum number of tracked programs; about 2 MB at 100 bytes per location. */
const maximumTrackedPrograms = 4000;

export type PromptLocations = {
	readonly add: (program: ProgramId, place: PromptLocation) => void;
	/** The latest locations of a program, the oldest first. */
	readonly of: (program: ProgramId) => readonly PromptLocation[];
};

/** Creates an empty table of locations. */
export function createPromptLocations(): PromptLocations {
	const locations = new Map<ProgramId, readonly PromptLocation[]>();

	return {
		add(program, place) {
			const places = locations.get(program) ?? [];
			locations.delete(program);
			locations.set(program, [...places.filter(other => other.part !== place.part), place].slice(-maximumLocationsPerProgram));
			const [oldest] = locations.keys();
			if (locations.size > maximumTrackedPrograms && oldest !== undefined) {
				locations.delete(oldest);
			}
		},
		of: program => locations.get(program) ?? [],
	};
}
