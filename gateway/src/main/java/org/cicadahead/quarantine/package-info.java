/**
 * Requests that crash the endpoints that run them. The code in this package does no I/O.
 */
package org.cicadahead.quarantine;
