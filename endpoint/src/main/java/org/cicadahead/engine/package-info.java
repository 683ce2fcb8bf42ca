/** The HTTP client of model engines. */
package org.cicadahead.engine;
