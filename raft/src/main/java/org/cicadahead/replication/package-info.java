/** The replicated log and its public interface, and the threads that run consensus over files and connections. */
package org.cicadahead.replication;
