/** Transaction status of a connection as ReadyForQuery reports it. */
export enum TransactionStatus {
	Idle = 'I',
	InTransaction = 'T',
	Failed = 'E',
}
