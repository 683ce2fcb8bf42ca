/** Messages between entries, hubs and stores, the roles of a deployment whose configuration is replaced as a whole. */
package org.cicadahead.fleet;
