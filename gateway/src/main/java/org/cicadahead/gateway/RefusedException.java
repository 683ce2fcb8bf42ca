package org.cicadahead.gateway;

import org.cicadahead.model.RefusalReason;

/** A request that is refused. */
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
