/** Rate and burst of organisations: pure token buckets whose tokens entries hold as grants. */
package org.cicadahead.grants;
