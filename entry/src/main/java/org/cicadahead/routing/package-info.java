/**
 * Choice of the endpoint that runs a request, and the retry budget. Deterministic code without clock, threads and I/O.
 */
package org.cicadahead.routing;
