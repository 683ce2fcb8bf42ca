/** The hub: holds the configuration, hears endpoints and operators, and tells entries and stores. */
package org.cicadahead.hub;
