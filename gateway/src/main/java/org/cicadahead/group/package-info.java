/** Code shared by the replica groups of hubs and stores. */
package org.cicadahead.group;
