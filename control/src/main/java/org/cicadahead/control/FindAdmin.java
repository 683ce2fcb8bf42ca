package org.cicadahead.control;

import org.cicadahead.protocol.Message;

/** Asks another replica where operators reach it. Answered by {@link AdminAddress}. */
record FindAdmin() implements Message {}
