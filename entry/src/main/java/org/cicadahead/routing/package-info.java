/** Pure choice of the endpoint that runs a request, and the retry budget. No clock, no threads, no I/O. */
package org.cicadahead.routing;
