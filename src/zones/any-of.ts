/**
Waiting for the first success among several attempts.
*/

/** Resolves to true as soon as one of the results is true; to false once all of them are false. */
export async function anyOf(results: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	return new Promise<boolean>((resolve, reject) => {
		for (const result of results) {
			result.then(isSuccess => {
				if (isSuccess) {
					resolve(true);
				}
			}, reject);
		}

		void Promise.allSettled(results).then(() => {
			resolve(false);
		});
	});
}
