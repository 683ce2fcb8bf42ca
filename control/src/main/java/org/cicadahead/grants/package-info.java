/** Rate limits of organisations: token buckets without I/O, whose tokens are handed to entries as grants. */
package org.cicadahead.grants;
