/** Which requests were running when an engine crashed: pure decisions, with the time as an argument. */
package org.cicadahead.crash;
