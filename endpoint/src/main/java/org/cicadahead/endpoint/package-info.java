/**
 * The endpoint role: dispatches runs, updates claims at control, and connects the packages {@code queue}, {@code cache}
 * and {@code crash}, which make the decisions, with the HTTP clients.
 */
package org.cicadahead.endpoint;
