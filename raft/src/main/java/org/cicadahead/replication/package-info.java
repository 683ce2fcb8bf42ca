/** The replicated log as its users see it, and the threads that run consensus over files and connections. */
package org.cicadahead.replication;
