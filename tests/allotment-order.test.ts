/**
Load pattern: a workspace asks for four times its allotment, in programs of several requests that are each lost if one request
of theirs is refused. Guards against an allotment that is spent on programs which it later breaks off.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {as, type Milliseconds} from '../src/contracts/id.js';
import {type RequestsPerSecond} from '../src/contracts/rate-limit.js';
import {createAllotmentBucket, reserveForBegun, type BucketLimit} from '../src/machines/allotment-bucket.js';
import {createSeededRandom} from './fixtures/fake-clock.js';

const limit: BucketLimit = {rate: as<RequestsPerSecond>(10), capacity: 10};
const requestsPerProgram = 8;
const requestIntervalMs = 100;
const programIntervalMs = 200;
const patienceMs = 60;
const loadMs = 30_000;

/** Plays the load with requests at random times. Returns how many programs got a permit for each request. */
function completedPrograms(reserve: number): number {
	const random = createSeededRandom(1);
	const bucket = createAllotmentBucket(limit.capacity, as<Milliseconds>(0));
	const queue = Array.from({length: loadMs / programIntervalMs}, (_, index) => ({at: (index + random.fraction()) * programIntervalMs, left: requestsPerProgram}));
	let completed = 0;
	for (let next = queue.shift(); next; next = queue.shift()) {
		const {at, left} = next;
		const delay = bucket.take(limit, patienceMs, as<Milliseconds>(at), left === requestsPerProgram ? reserve : 0);
		if (delay !== undefined && left > 1) {
			queue.push({at: at + delay + (requestIntervalMs * (0.5 + random.fraction())), left: left - 1});
			queue.sort((first, second) => first.at - second.at);
		}

		completed += delay !== undefined && left === 1 ? 1 : 0;
	}

	return completed;
}

test('an allotment that is asked for four times over serves whole programs', () => {
	const possible = (loadMs / 1000 * limit.rate) / requestsPerProgram;
	const completed = completedPrograms(reserveForBegun(limit));
	const completedWithout = completedPrograms(0);
	assert.ok(completed >= 0.8 * possible, `${completed} of ${possible} programs that the allotment allows`);
	assert.ok(completedWithout < completed / 2, `${completedWithout} programs without the reserve`);
});

test('the first request of a program is granted at once while the allotment is not used up', () => {
	const bucket = createAllotmentBucket(limit.capacity, as<Milliseconds>(0));
	assert.equal(bucket.take(limit, 0, as<Milliseconds>(0), reserveForBegun(limit)), 0);
});

test('an allotment without a burst still grants the first request of a program', () => {
	const small: BucketLimit = {rate: as<RequestsPerSecond>(2), capacity: 1};
	assert.equal(createAllotmentBucket(1, as<Milliseconds>(0)).take(small, 0, as<Milliseconds>(0), reserveForBegun(small)), 0);
});
