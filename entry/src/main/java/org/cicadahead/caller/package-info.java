/** The HTTP API towards callers. */
package org.cicadahead.caller;
