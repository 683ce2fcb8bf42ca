/** The HTTP API through which operators administer control. */
package org.cicadahead.operator;
