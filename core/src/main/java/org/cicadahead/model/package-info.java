/** Ids, configuration resources and refusal reasons shared by all processes. */
package org.cicadahead.model;
