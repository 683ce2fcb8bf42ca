/** Measures the targets of the design page: the deciding packages in virtual time, and real processes on loopback. */
package org.cicadahead.testbed.bench;
