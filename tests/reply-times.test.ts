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

const receiver: Member = {
	id: as<InstanceId>('a2'), dataCentre: as<DataCentreId>('a'), address: as<Address>('a2'), incarnation: as<Incarnation>(1), status: 'alive',
};
const ms = (value: number) => as<Milliseconds>(value);
const bounds: ReplyBounds = {
	minimum: ms(40), maximum: ms(500), attempts: 3, lateAttempts: 1,
};

test('a fast receiver has the minimum and all attempts', () => {
	const replyTimes = createReplyTimes(() => undefined);
	replyTimes.recordReply(receiver, ms(3));
	assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
});

test('a receiver that replies after the limit gets longer ones, up to the maximum, and fewer messages', () => {
	let now = 0;
	const replyTimes = createReplyTimes(() => ms(now));
	const limits = [1, 2, 3, 4, 5].map(() => {
		replyTimes.recordTimeout(receiver, ms(now));
		now += 100;
		return replyTimes.next(receiver, bounds);
	});
	assert.deepEqual(limits.map(({timeout}) => timeout), [80, 160, 320, 500, 500]);
	assert.deepEqual(limits.map(({attempts}) => attempts), [3, 1, 1, 1, 1]);
	for (let reply = 0; reply < 30; reply++) {
		replyTimes.recordReply(receiver, ms(2));
	}

	assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
});

test('a receiver that is down or cut off is not waited for longer than the minimum', () => {
	const replyTimes = createReplyTimes(() => ms(50));
	replyTimes.recordReply(receiver, ms(100));
	for (const sentAt of [100, 300, 500]) {
		replyTimes.recordTimeout(receiver, ms(sentAt));
		assert.deepEqual(replyTimes.next(receiver, bounds), {timeout: 40, attempts: 3});
	}
});
