/**
 * The hub: replicates the configuration, receives heartbeats and operator calls, and sends updates to entries and
 * stores.
 */
package org.cicadahead.hub;
