/** Emulated engine and service that speak the published protocol, with fault switches. */
package org.cicadahead.testbed.emulator;
