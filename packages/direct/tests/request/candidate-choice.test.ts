import {describe, expect, it} from 'vitest';
import {type CandidateReport, type CandidateSituation, chooseCandidate} from '../../src/index.js';

const first: CandidateReport = {id: 'first', isPrimary: false, term: 1, received: {term: 1, index: 10}};
const second: CandidateReport = {...first, id: 'second'};
const advanced: CandidateReport = {...second, received: {term: 1, index: 11}};
const advancedButLeaving: CandidateReport = {...advanced, leavingMilliseconds: 4501};
const leading: CandidateReport = {...first, isPrimary: true, term: 2};
const leadingLater: CandidateReport = {...second, isPrimary: true, term: 3};
const calm: CandidateSituation = {term: 1, isOrderPending: false, isUnknownOrderPending: false, instances: 2, isSynchronous: false};
const synchronous: CandidateSituation = {...calm, isSynchronous: true, requiredPosition: advanced.received};
const pending: CandidateSituation = {...calm, ordered: 'first', isOrderPending: true};

describe('chooseCandidate', () => {
	it.each<{name: string; reports: CandidateReport[]; situation: CandidateSituation; expected: ReturnType<typeof chooseCandidate>}>([
		{name: 'the most advanced instance', reports: [first, advanced], situation: calm, expected: {id: 'second'}},
		{name: 'one that leaves if no other responds', reports: [{...first, leavingMilliseconds: 4500}], situation: calm, expected: {id: 'first'}},
		{name: 'none that has been leaving for too long', reports: [{...first, leavingMilliseconds: 4501}], situation: calm, expected: undefined},
		{name: 'none that has been leaving for too long, although it was ordered', reports: [{...leading, leavingMilliseconds: 4501}, advanced], situation: pending, expected: undefined},
		{name: 'one that stays rather than the most advanced one', reports: [first, {...advanced, leavingMilliseconds: 100}], situation: calm, expected: {id: 'first'}},
		{name: 'none while no position is known that covers the acknowledged commits', reports: [first, advanced], situation: {...calm, isSynchronous: true}, expected: undefined},
		{name: 'none that lacks the required position', reports: [first], situation: synchronous, expected: undefined},
		{name: 'one that leaves if only it has the required position', reports: [first, {...advanced, leavingMilliseconds: 100}], situation: synchronous, expected: {id: 'second'}},
		{name: 'none if only one that has been leaving for too long has the required position', reports: [first, advancedButLeaving], situation: synchronous, expected: undefined},
		{name: 'none while the ordered one has lost its log', reports: [first, advanced], situation: {...pending, ...synchronous, ordered: 'first', isOrderPending: true}, expected: undefined},
		{name: 'the one that took over the lead of the released primary', reports: [{...first, isPrimary: true}, second], situation: calm, expected: {id: 'first', fromTerm: 1}},
		{name: 'one that leads already, as it was chosen with the required position', reports: [leading, {...advanced, term: 3}], situation: synchronous, expected: {id: 'first', fromTerm: 2}},
		{name: 'none without reports', reports: [], situation: calm, expected: undefined},
		{name: 'the ordered one while its promotion may take effect', reports: [first, advanced], situation: pending, expected: {id: 'first'}},
		{name: 'none while the ordered one does not respond', reports: [advanced], situation: pending, expected: undefined},
		{name: 'none while a forgotten order may take effect', reports: [first, advanced], situation: {...calm, isUnknownOrderPending: true}, expected: undefined},
		{name: 'another one after the order can no longer take effect', reports: [advanced], situation: {...pending, isOrderPending: false}, expected: {id: 'second'}},
		{name: 'the ordered one that leads', reports: [leading], situation: pending, expected: {id: 'first'}},
		{name: 'the ordered one, with the term that it led before', reports: [leading], situation: {...pending, orderedFromTerm: 2}, expected: {id: 'first', fromTerm: 2}},
		{name: 'the one that leads the latest term', reports: [leading, leadingLater], situation: calm, expected: {id: 'second'}},
		{name: 'the only one that leads if all respond', reports: [leading, advanced], situation: calm, expected: {id: 'first'}},
		{name: 'the one that leads, with its term if another may lead a later one', reports: [leading], situation: calm, expected: {id: 'first', fromTerm: 2}},
		{name: 'the one that leads, with its term if a replica knows a later one', reports: [leading, {...second, term: 3}], situation: calm, expected: {id: 'first', fromTerm: 2}},
	])('is $name', ({reports, situation, expected}) => {
		expect(chooseCandidate(reports, situation)).toEqual(expected);
	});
});
