/** Pure local use of rate grants at an entry. No clock, no threads, no I/O. */
package org.cicadahead.admission;
