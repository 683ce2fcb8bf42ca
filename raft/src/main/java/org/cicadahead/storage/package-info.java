/** Persistent storage of a replica: its identity, hard state, log segments and snapshots, and their recovery. */
package org.cicadahead.storage;
