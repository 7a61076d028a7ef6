/** Kinds of statements of the session protocol. */
export enum StatementKind {
	Begin = 'begin',
	BeginReadOnly = 'begin-read-only',
	Commit = 'commit',
	Rollback = 'rollback',
	Read = 'read',
	Write = 'write',
	SetValue = 'set-value',
	Prepare = 'prepare',
	Execute = 'execute',
	Deallocate = 'deallocate',
}
