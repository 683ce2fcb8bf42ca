/**
 * The control role: the request handling on the replicated tables, the in-memory tables of the leader and the history
 * files.
 */
package org.cicadahead.control;
