/** The endpoint role: dispatches runs, updates claims, and connects the decision packages with the HTTP clients. */
package org.cicadahead.endpoint;
