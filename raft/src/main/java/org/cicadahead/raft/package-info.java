/**
 * The Raft consensus algorithm without I/O, clocks or threads. Each call takes an event and the current time, updates
 * the state and returns the actions that the caller has to perform.
 */
package org.cicadahead.raft;
