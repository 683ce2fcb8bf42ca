/** The command-line client {@code cicadactl}, which reads and changes the configuration of a fleet. */
package org.cicadahead.ctl;
