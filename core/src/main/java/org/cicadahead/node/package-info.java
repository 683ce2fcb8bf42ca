/** The interface and the helpers that all roles of a daemon share. */
package org.cicadahead.node;
