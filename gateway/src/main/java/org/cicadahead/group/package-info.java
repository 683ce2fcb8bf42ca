/** What the groups of hubs and stores have in common. */
package org.cicadahead.group;
