/** The entry role: the flow of a request from its caller to an endpoint and back. */
package org.cicadahead.entry;
