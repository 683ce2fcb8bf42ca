/** The watch by which daemons receive updates from the hubs of their deployment. */
package org.cicadahead.watch;
