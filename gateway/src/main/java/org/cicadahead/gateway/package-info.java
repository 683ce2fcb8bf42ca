/** The entry of a deployment with a whole configuration: the way of a request from its caller to an endpoint. */
package org.cicadahead.gateway;
