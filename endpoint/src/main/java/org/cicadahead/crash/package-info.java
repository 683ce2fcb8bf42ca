/**
 * Determines which requests were running when an engine crashed. The classes do no I/O and read no clock: callers pass
 * the current time.
 */
package org.cicadahead.crash;
