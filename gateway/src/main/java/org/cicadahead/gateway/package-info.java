/** The entry of a deployment with a site configuration: routes a request from its caller to an endpoint. */
package org.cicadahead.gateway;
