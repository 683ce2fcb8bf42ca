/**
 * Consensus without I/O, clock or threads: each call takes an event and the time, changes the state and returns what to
 * do.
 */
package org.cicadahead.raft;
