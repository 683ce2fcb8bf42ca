package org.cicadahead.gateway;

import org.cicadahead.model.RefusalReason;

/** Thrown when a request is refused; carries the refusal to send to the caller. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient GatewayRefusal refusal;

    RefusedException(RefusalReason reason) {
        super(reason.title());
        this.refusal = GatewayRefusal.of(reason);
    }

    GatewayRefusal refusal() {
        return refusal;
    }
}
