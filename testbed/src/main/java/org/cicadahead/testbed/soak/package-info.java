/** A randomized soak of the platform path: real processes, faults from outside, promises checked at both ends. */
package org.cicadahead.testbed.soak;
