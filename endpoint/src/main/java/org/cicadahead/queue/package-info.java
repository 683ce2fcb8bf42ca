/** The run queue of an endpoint. The decisions are pure: the current time is always an argument. */
package org.cicadahead.queue;
