/**
 * The versioned configuration of a deployment, which operators submit as a whole, with its routes, services and
 * organisations.
 */
package org.cicadahead.site;
