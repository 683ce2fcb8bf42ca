/** Distribution of the organisations' rate limits over the entries, without input or output. */
package org.cicadahead.quota;
