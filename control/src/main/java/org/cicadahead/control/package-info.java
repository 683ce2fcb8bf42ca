/** The control role: wiring of the replicated tables, the tables of the leader and the history files. */
package org.cicadahead.control;
