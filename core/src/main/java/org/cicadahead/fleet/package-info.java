/** Messages between entries, hubs and stores, the roles of a deployment with a whole configuration. */
package org.cicadahead.fleet;
