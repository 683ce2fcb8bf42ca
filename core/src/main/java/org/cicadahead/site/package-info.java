/** A whole configuration under one version, as operators of a deployment send it, and the routes in it. */
package org.cicadahead.site;
