/** The HTTP client of plain services. */
package org.cicadahead.service;
