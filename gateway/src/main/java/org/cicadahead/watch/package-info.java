/** How daemons follow the hubs of their deployment. */
package org.cicadahead.watch;
