/** The endpoints as an entry knows them, and the choice among them, without input or output. */
package org.cicadahead.placement;
