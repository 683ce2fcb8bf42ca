/**
 * The replicated log: its public interface, and the threads that connect consensus to the files and the
 * peer connections.
 */
package org.cicadahead.replication;
