/**
Where prompts of programs were last computed. The instance that counts a program's budget keeps it, since every
model call of the program asks there first; so a turn that arrives at another entry still finds the endpoint that
has the turn before in memory.
*/
import {type EndpointId, type ProgramId, type PromptPartId} from '../contracts/id.js';

/** The endpoint that computed a prompt up to the named part. */
export type PromptLocation = {readonly part: PromptPartId; readonly endpoint: EndpointId};

/** Lines of turns that are remembered for a program; each branch of it has one. */
const placesPerProgram = 6;

/** Programs that are remembered; at 100 bytes a place about 2 MB. */
const rememberedPrograms = 4000;

export type PromptLocations = {
	readonly add: (program: ProgramId, place: PromptLocation) => void;
	/** The latest places of a program, the oldest first. */
	readonly of: (program: ProgramId) => readonly PromptLocation[];
};

/** Creates an empty memory of places. */
export function createPromptLocations(): PromptLocations {
	const known = new Map<ProgramId, readonly PromptLocation[]>();

	return {
		add(program, place) {
			const places = known.get(program) ?? [];
			known.delete(program);
			known.set(program, [...places.filter(other => other.part !== place.part), place].slice(-placesPerProgram));
			const [oldest] = known.keys();
			if (known.size > rememberedPrograms && oldest !== undefined) {
				known.delete(oldest);
			}
		},
		of: program => known.get(program) ?? [],
	};
}
