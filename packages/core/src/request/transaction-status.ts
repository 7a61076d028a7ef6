/** Transaction status of a connection as reported by ReadyForQuery. */
export enum TransactionStatus {
	Idle = 'I',
	InTransaction = 'T',
	Failed = 'E',
}
