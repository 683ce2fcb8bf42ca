/** A caller of the HTTP API of the entries. */
package org.cicadahead.testbed.client;
