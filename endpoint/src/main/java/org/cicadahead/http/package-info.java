/** Checks of HTTP responses that engines and services have in common. */
package org.cicadahead.http;
