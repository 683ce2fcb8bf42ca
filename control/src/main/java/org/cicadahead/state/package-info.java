/** The replicated tables of control: pure functions of the commands and of the leader's time. */
package org.cicadahead.state;
