/** Shares of the rates of organisations, without input or output. */
package org.cicadahead.quota;
