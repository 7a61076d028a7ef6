import {createServer, type Server} from 'node:http';
import {type EventLog} from './event-log.js';

/** Path at which the metrics are served. */
const metricsPath = '/metrics';

/**
 * Creates the HTTP server of the metrics endpoint.
 *
 * @param render - Returns the metrics as text.
 * @param log - Log for failures.
 */
export function createMetricsServer(render: () => Promise<string>, log: EventLog): Server {
	return createServer((request, response) => {
		request.resume();
		if (request.url !== metricsPath) {
			response.writeHead(404, {'content-length': 0}).end();
			return;
		}

		void (async () => {
			try {
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(await render());
			} catch (error) {
				log.write('metrics-failed', {reason: String(error)});
				response.destroy();
			}
		})();
	});
}
