package org.cicadahead.control;

import org.cicadahead.protocol.Message;

/** Asks another replica for its admin address. The reply is {@link AdminAddress}. */
record FindAdmin() implements Message {}
