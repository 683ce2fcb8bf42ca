/** Tracks which programs hold cache on the engine. The decisions are pure: the current time is an argument. */
package org.cicadahead.cache;
