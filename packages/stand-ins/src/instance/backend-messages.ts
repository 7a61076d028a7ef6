import {type TransactionStatus} from '@tarragonstack/core';
import {Writer} from 'pg-protocol/dist/buffer-writer.js';
import {type SqlError} from './sql-error.js';
import {type Value} from './sql-statement.js';
import {type ResultColumn} from './statement-executor.js';

/** Type bytes of backend messages in the PostgreSQL protocol, version 3. */
enum MessageCode {
	Authentication = 0x52,
	BackendKeyData = 0x4B,
	BindComplete = 0x32,
	CloseComplete = 0x33,
	CommandComplete = 0x43,
	DataRow = 0x44,
	EmptyQueryResponse = 0x49,
	ErrorResponse = 0x45,
	NoData = 0x6E,
	ParameterDescription = 0x74,
	ParameterStatus = 0x53,
	ParseComplete = 0x31,
	PortalSuspended = 0x73,
	ReadyForQuery = 0x5A,
	RowDescription = 0x54,
}

/** Encoders of the messages that a PostgreSQL server sends. */
export const backendMessages = {
	authenticationOk: () => new Writer().addInt32(0).flush(MessageCode.Authentication),
	parameterStatus: (name: string, value: string) => new Writer().addCString(name).addCString(value).flush(MessageCode.ParameterStatus),
	backendKeyData: (processIdentifier: number, secret: number) => new Writer().addInt32(processIdentifier).addInt32(secret).flush(MessageCode.BackendKeyData),
	readyForQuery: (status: TransactionStatus) => new Writer().addString(status).flush(MessageCode.ReadyForQuery),
	parseComplete: () => new Writer().flush(MessageCode.ParseComplete),
	bindComplete: () => new Writer().flush(MessageCode.BindComplete),
	closeComplete: () => new Writer().flush(MessageCode.CloseComplete),
	noData: () => new Writer().flush(MessageCode.NoData),
	emptyQueryResponse: () => new Writer().flush(MessageCode.EmptyQueryResponse),
	portalSuspended: () => new Writer().flush(MessageCode.PortalSuspended),
	commandComplete: (tag: string) => new Writer().addCString(tag).flush(MessageCode.CommandComplete),

	parameterDescription(types: readonly number[]): Buffer {
		const writer = new Writer().addInt16(types.length);
		for (const type of types) {
			writer.addInt32(type);
		}

		return writer.flush(MessageCode.ParameterDescription);
	},

	rowDescription(columns: readonly ResultColumn[]): Buffer {
		const writer = new Writer().addInt16(columns.length);
		for (const column of columns) {
			// Name, table OID, attribute number, type OID, type size (variable), type modifier (none), text format.
			writer.addCString(column.name).addInt32(0).addInt16(0).addInt32(column.type).addInt16(-1).addInt32(-1).addInt16(0);
		}

		return writer.flush(MessageCode.RowDescription);
	},

	dataRow(values: readonly Value[]): Buffer {
		const writer = new Writer().addInt16(values.length);
		for (const value of values) {
			if (value === null) {
				writer.addInt32(-1);
			} else {
				writer.addInt32(Buffer.byteLength(value)).addString(value);
			}
		}

		return writer.flush(MessageCode.DataRow);
	},

	error(error: SqlError, severity: 'ERROR' | 'FATAL'): Buffer {
		return new Writer()
			.addString('S').addCString(severity)
			.addString('V').addCString(severity)
			.addString('C').addCString(error.code)
			.addString('M').addCString(error.message)
			.addCString('')
			.flush(MessageCode.ErrorResponse);
	},
};
