package org.cicadahead.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** A fake exchange that records the response. */
class FakeExchange implements CallerExchange {
    final StringBuilder body = new StringBuilder();
    final CountDownLatch refused = new CountDownLatch(1);
    int status;
    GatewayRefusal refusal;
    boolean ended;
    boolean reset;
    Runnable disconnectAction = () -> {};

    @Override
    public void answer(ResponseHead head, byte[] bytes) {
        status = head.status();
        body.append(new String(bytes, StandardCharsets.UTF_8));
        ended = true;
    }

    @Override
    public void begin(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void chunk(byte[] data) {
        body.append(new String(data, StandardCharsets.UTF_8));
    }

    @Override
    public void end() {
        ended = true;
    }

    @Override
    public void refuse(GatewayRefusal received) {
        refusal = received;
        refused.countDown();
    }

    @Override
    public void reset() {
        reset = true;
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }
}
