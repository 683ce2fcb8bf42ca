/** The command line of the test bed: emulators, the quick start, the load generator and the fault table. */
package org.cicadahead.testbed;
