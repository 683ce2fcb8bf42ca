/** Distribution of the organisations' rate limits over the entries. The code in this package does no I/O. */
package org.cicadahead.quota;
