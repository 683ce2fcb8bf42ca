/** The program {@code cicadahead}: settings, logging, health checks, metrics and shutdown of a daemon process. */
package org.cicadahead.daemon;
