/** The entry role, which forwards requests of callers to endpoints and their responses back. */
package org.cicadahead.entry;
