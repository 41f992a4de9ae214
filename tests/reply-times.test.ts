/**
Time limits of messages to instances that reply late, and to instances that do not reply at all.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type Address, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {type Member} from '../src/zones/membership.js';
import {createReplyTimes, type ReplyBounds} from '../src/zones/reply-times.js';
import {createFakeClock} from './fixtures/fake-clock.js';

const receiver: Member = {
	id: as<InstanceId>('a2'), dataCentre: as<DataCentreId>('a'), address: as<Address>('a2'), incarnation: as<Incarnation>(1), status: 'alive',
};
const ms = (value: number) => as<Milliseconds>(value);
const bounds: ReplyBounds = {
	minimum: ms(40), maximum: ms(500), attempts: 3, lateAttempts: 1,
};

test('a fast receiver has the minimum and all attempts', () => {
	const clock = createFakeClock();
	const replyTimes = createReplyTimes(() => clock.now(), clock);
	replyTimes.recordReply(receiver, ms(3));
	assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
});

test('a receiver that replies after the limit gets longer ones, up to the maximum, and fewer messages', () => {
	const clock = createFakeClock();
	const replyTimes = createReplyTimes(() => clock.now(), clock);
	const limits = [1, 2, 3, 4, 5].map(() => {
		replyTimes.recordTimeout(receiver);
		return replyTimes.next(receiver, bounds);
	});
	assert.deepEqual(limits.map(({timeout}) => timeout), [80, 160, 320, 500, 500]);
	assert.deepEqual(limits.map(({attempts}) => attempts), [3, 1, 1, 1, 1]);
	for (let reply = 0; reply < 30; reply++) {
		replyTimes.recordReply(receiver, ms(2));
	}

	assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
});

test('a receiver that is down or cut off is not waited for longer than the minimum', async () => {
	const clock = createFakeClock();
	const replyTimes = createReplyTimes(() => ms(0), clock);
	replyTimes.recordReply(receiver, ms(100));
	replyTimes.recordTimeout(receiver);
	assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 150, attempts: 1});
	await clock.advance(1500);
	for (let message = 0; message < 3; message++) {
		replyTimes.recordTimeout(receiver);
		assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
	}
});
