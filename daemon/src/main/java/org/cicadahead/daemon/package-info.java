/** The binary {@code cicadahead}: settings, logging, health, metrics and shutdown of a daemon process. */
package org.cicadahead.daemon;
