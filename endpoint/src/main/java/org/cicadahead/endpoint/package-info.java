/** The endpoint role: run flow, claims, and the wiring of the pure packages with the clients. */
package org.cicadahead.endpoint;
