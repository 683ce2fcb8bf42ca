/** The binary {@code cicadactl}, with which operators read and change the configuration of a fleet. */
package org.cicadahead.ctl;
