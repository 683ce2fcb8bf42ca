/**
 * The replicated tables of control. Their state depends only on the commands and on the leader time of each command.
 */
package org.cicadahead.state;
