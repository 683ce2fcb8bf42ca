/** The HTTP API for callers. */
package org.cicadahead.caller;
