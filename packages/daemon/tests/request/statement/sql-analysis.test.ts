import {describe, expect, it} from 'vitest';
import {analyzeSql, StatementClass} from '../../../src/index.js';

const classes = (text: string) => analyzeSql(text).statements.map(statement => statement.statementClass);

describe('analyzeSql', () => {
	it.each([
		['SELECT 1', 'a plain read that is sent to the primary'],
		['select a, "b" from "Orders" where a = \'insert\'', 'a key word inside a string'],
		['SELECT count(*), lower(name) FROM strips GROUP BY 2', 'a call of a listed function that is classified as a write'],
		['SELECT $$a; DELETE FROM b$$', 'a dollar-quoted string that is parsed as statements'],
		['SELECT $x$ $$ ; $x$', 'a dollar quote with a tag that ends early'],
		['/* a; /* nested */ delete */ SELECT 1 -- update', 'comments that are parsed as statements'],
		[String.raw`SELECT E'it\'s; delete'`, 'an escaped quote that ends the string early'],
		['VALUES (1), (2)', 'VALUES that is classified as a write'],
		['WITH a AS (SELECT 1) SELECT * FROM a', 'a common table expression of reads'],
		['(SELECT 1) UNION (SELECT 2)', 'parentheses before SELECT'],
		['SELECT CAST(a AS numeric(10, 2)), extract(year FROM b) FROM c', 'type names and built-in syntax that are parsed as function calls'],
		['SHOW server_version', 'SHOW of an upstream setting'],
		['SELECT * FROM a WHERE b IN ($1, $2) LIMIT 5;', 'a trailing semicolon that counts as a second statement'],
	])('classifies %j as a read (guards against %s)', text => {
		expect(classes(text)).toEqual([StatementClass.Read]);
	});

	it.each([
		['INSERT INTO a VALUES (1)', 'an insert on a replica'],
		['WITH a AS (DELETE FROM b RETURNING *) SELECT * FROM a', 'a data-modifying WITH'],
		['SELECT * FROM a FOR UPDATE', 'a row lock on a replica'],
		['SELECT * FROM a FOR NO KEY UPDATE', 'a weaker row lock on a replica'],
		['SELECT * FROM a FOR SHARE', 'a shared row lock on a replica'],
		['SELECT 1 INTO b', 'a table created by SELECT'],
		['SELECT nextval(\'s\')', 'a function with side effects'],
		['SELECT nextval (\'s\')', 'a space before the arguments'],
		['SELECT nextval/**/(\'s\')', 'a comment before the arguments'],
		['SELECT "lower"(a)', 'a quoted function name'],
		['SELECT public.lower(a)', 'a function of another schema with a listed name'],
		['EXPLAIN ANALYZE DELETE FROM a', 'EXPLAIN that runs its statement'],
		['SELECT \'unterminated', 'an unterminated string'],
		['SELECT 1 /* unterminated', 'an unterminated comment'],
		['DO $$ begin end $$', 'an anonymous block'],
		['CALL p()', 'a procedure'],
		['SET LOCAL work_mem = 1', 'SET LOCAL'],
		['SAVEPOINT a', 'a savepoint'],
		['SELECT pg_advisory_xact_lock(1)', 'a transaction-level lock that is refused'],
		['SELECT set_config(\'a.b\', \'c\', true)', 'a transaction-level setting that is refused'],
		['CREATE TABLE temperature (a int)', 'a table name that starts with TEMP'],
	])('classifies %j as a write (guards against %s)', text => {
		expect(classes(text)).toEqual([StatementClass.Write]);
	});

	it.each([
		['COPY a FROM STDIN', 'COPY'],
		['copy (select 1) to stdout', 'COPY TO'],
		['PREPARE a AS SELECT 1', 'a prepared statement on a pooled connection'],
		['PREPARE TRANSACTION \'a\'', 'two-phase commit'],
		['COMMIT PREPARED \'a\'', 'the end of a two-phase commit'],
		['LISTEN a', 'LISTEN on a pooled connection'],
		['SET work_mem = 1', 'a setting that leaks into other sessions'],
		['SET SESSION work_mem TO 1', 'SET SESSION'],
		['SET ROLE admin', 'another role on a pooled connection'],
		['SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY', 'SET without a value list'],
		['SET client_encoding = LATIN1', 'an encoding that changes the results'],
		['SET search_path = private', 'a search path that changes the meaning of statements'],
		['SET extra_float_digits = -1', 'a float format with fewer digits'],
		['RESET ALL', 'RESET on a pooled connection'],
		['DISCARD ALL', 'DISCARD on a pooled connection'],
		['DECLARE c CURSOR WITH HOLD FOR SELECT 1', 'a cursor that outlives its transaction'],
		['CREATE TEMP TABLE a (b int)', 'a temporary table'],
		['CREATE LOCAL TEMPORARY TABLE a (b int)', 'LOCAL TEMPORARY'],
		['SELECT 1 INTO TEMP a', 'SELECT INTO TEMP'],
		['SELECT pg_advisory_lock(1)', 'a session-level lock'],
		['SELECT pg_try_advisory_lock (1)', 'a session-level lock with a space'],
		['SELECT "pg_advisory_lock"(1)', 'a session-level lock with a quoted name'],
		['SELECT set_config(\'a.b\', \'c\', false)', 'a setting that outlives the transaction'],
		['START_REPLICATION SLOT a LOGICAL 0/0', 'replication commands'],
	])('refuses %j with a message (guards against %s)', text => {
		const [statement] = analyzeSql(text).statements;
		expect(statement).toMatchObject({statementClass: StatementClass.Refused});
		expect(statement?.refusal).toMatch(/not supported|only with/v);
	});

	it.each([
		['BEGIN; INSERT INTO a VALUES (1); COMMIT', [StatementClass.Begin, StatementClass.Write, StatementClass.Commit]],
		['START TRANSACTION READ ONLY', [StatementClass.Begin]],
		['END', [StatementClass.Commit]],
		['ABORT', [StatementClass.Rollback]],
		['ROLLBACK TO SAVEPOINT a', [StatementClass.RollbackToSavepoint]],
		['ROLLBACK WORK TO a', [StatementClass.RollbackToSavepoint]],
		['SET tarragon.rank = \'urgent\'', [StatementClass.SessionSetting]],
		['SET SESSION "tarragon"."rank" TO urgent', [StatementClass.SessionSetting]],
		['SHOW tarragon.position', [StatementClass.SessionSetting]],
		['SET NAMES \'UTF8\'', [StatementClass.SessionSetting]],
		['SET search_path TO "$user", public', [StatementClass.SessionSetting]],
		['SET TIME ZONE \'UTC\'', [StatementClass.SessionSetting]],
		[' ; -- nothing', []],
	])('classifies %j as %j (guards against wrong boundaries of statements or transactions)', (text, expected) => {
		expect(classes(text)).toEqual(expected);
	});

	it('takes time proportional to the length (guards against a statement that blocks the host)', () => {
		const text = `SELECT ${'\'a\'\'b\', /* c */ "d", $1, '.repeat(100_000)}1`;
		expect(classes(text)).toEqual([StatementClass.Read]);
	}, 5000);
});
