/** The HTTP client for model engines. */
package org.cicadahead.engine;
