/** The ledger of engine cache: pure decisions, with the time as an argument. */
package org.cicadahead.cache;
