/**
 * Choice of the endpoint that runs a request, and limit on retries. Deterministic code without clock, threads and I/O.
 */
package org.cicadahead.routing;
