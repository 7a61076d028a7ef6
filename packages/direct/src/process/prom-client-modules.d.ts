/* Modules of prom-client without type declarations of their own. Each one exports a class of the index. */

declare module 'prom-client/lib/counter.js' {
	export {Counter as default} from 'prom-client';
}

declare module 'prom-client/lib/gauge.js' {
	export {Gauge as default} from 'prom-client';
}

declare module 'prom-client/lib/histogram.js' {
	export {Histogram as default} from 'prom-client';
}

declare module 'prom-client/lib/registry.js' {
	export {Registry as default} from 'prom-client';
}

declare module 'prom-client/lib/summary.js' {
	export {Summary as default} from 'prom-client';
}
