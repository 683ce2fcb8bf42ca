/** Determines which requests were running when an engine crashed. The current time is always an argument. */
package org.cicadahead.crash;
