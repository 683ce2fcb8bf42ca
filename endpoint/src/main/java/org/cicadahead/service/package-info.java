/** The HTTP client for services that are not engines. */
package org.cicadahead.service;
