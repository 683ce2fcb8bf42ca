/** The fault table: cases that break real processes and check what the design promises. */
package org.cicadahead.testbed.prove;
