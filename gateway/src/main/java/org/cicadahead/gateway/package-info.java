/**
 * The entry role of a deployment with a site configuration: admits the requests of callers and sends them to endpoints.
 */
package org.cicadahead.gateway;
