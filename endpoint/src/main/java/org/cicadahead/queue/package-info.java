/** The run queue of an endpoint: pure decisions, with the time as an argument. */
package org.cicadahead.queue;
