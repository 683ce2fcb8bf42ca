/**
 * The control role of a daemon: serving requests from the replicated tables, the in-memory tables of the leader and the
 * history files.
 */
package org.cicadahead.control;
