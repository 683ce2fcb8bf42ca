/** The registry of known endpoints and the placement policy over them, without input or output. */
package org.cicadahead.placement;
