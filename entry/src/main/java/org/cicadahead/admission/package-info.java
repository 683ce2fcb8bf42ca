/** Admission of requests against rate grants at an entry. Deterministic code without clock, threads and I/O. */
package org.cicadahead.admission;
