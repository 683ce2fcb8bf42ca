/** The registry of known endpoints and the policy that chooses among them. The code in this package does no I/O. */
package org.cicadahead.placement;
