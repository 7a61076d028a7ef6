// The index of the library also loads the push gateway (TLS), the cluster support and OpenTelemetry, which take 14 ms of
// processor time at the start and are not used here.
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
export {default as Registry} from 'prom-client/lib/registry.js';
export {default as Summary} from 'prom-client/lib/summary.js';
