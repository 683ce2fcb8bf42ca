/** The files of a replica: identity, hard state, log segments and snapshots, and their recovery. */
package org.cicadahead.storage;
