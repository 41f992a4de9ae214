/**
Watch over the answers of other archives. What counts is how many questions in a row were not answered, so that a pause of this process
costs an archive one answer at most.
*/
import {type ArchiveCopyLink, type ListedArchive} from '../../contracts/archive.js';
import {
	as, type DataCentreId, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';

const probeTimeoutMs = 500;

/**
Questions in a row without an answer after which an archive counts as silent; a restart takes about two of them. Archives of other data
centres leave the work to one of its own, if there is one that is new.
*/
const silentAfter = {nearby: 4, elsewhere: 6} as const;

export type SilenceWatch = {
	/** Asks archives once. */
	readonly probe: (archives: readonly ListedArchive[]) => Promise<void>;
	/** Whether the last question was answered, or none was asked yet. */
	readonly isAnswering: (archive: ListedArchive) => boolean;
	readonly isSilent: (archive: ListedArchive) => boolean;
};

export type SilenceWatchOptions = {
	readonly dataCentre: DataCentreId;
	readonly link: Pick<ArchiveCopyLink, 'holds'>;
	/** An archive has become silent. */
	readonly onSilent: (archive: InstanceId) => void;
};

/** Creates a watch that has not asked anybody yet. */
export function createSilenceWatch({dataCentre, link, onSilent}: SilenceWatchOptions): SilenceWatch {
	const unanswered = new Map<InstanceId, number>();
	const limitOf = (archive: ListedArchive) => archive.dataCentre === dataCentre ? silentAfter.nearby : silentAfter.elsewhere;

	async function probeOne(archive: ListedArchive): Promise<void> {
		// A question about no turn, which every build answers.
		const answer = await link.holds(archive.address, [], as<Milliseconds>(probeTimeoutMs));
		if (answer) {
			unanswered.delete(archive.id);
			return;
		}

		const count = (unanswered.get(archive.id) ?? 0) + 1;
		unanswered.set(archive.id, count);
		if (count === limitOf(archive)) {
			onSilent(archive.id);
		}
	}

	return {
		async probe(archives) {
			await Promise.all(archives.map(async archive => probeOne(archive)));
		},
		isAnswering: ({id}) => !unanswered.has(id),
		isSilent: archive => (unanswered.get(archive.id) ?? 0) >= limitOf(archive),
	};
}
