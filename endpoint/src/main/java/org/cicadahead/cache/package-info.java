/**
 * Tracks which programs have cached tokens on the engine and decides when to release them. The classes do no I/O and
 * read no clock: callers pass the current time.
 */
package org.cicadahead.cache;
