/** The run queue of an endpoint. The classes do no I/O and read no clock: callers pass the current time. */
package org.cicadahead.queue;
