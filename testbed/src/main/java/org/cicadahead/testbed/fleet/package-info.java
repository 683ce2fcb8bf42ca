/** Starts, signals and ends the processes of a fleet on the loopback address, with links that can fail. */
package org.cicadahead.testbed.fleet;
