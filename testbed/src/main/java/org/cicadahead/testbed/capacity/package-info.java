/** Measures how memory, processor time and bytes grow with the size of the fleet, for docs/CAPACITY.md. */
package org.cicadahead.testbed.capacity;
