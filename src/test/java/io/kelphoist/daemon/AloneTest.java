package io.kelphoist.daemon;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A controller that reaches neither the state service nor another controller can tell users nothing, and says so, on loopback. */
@Timeout(60)
class AloneTest extends OnSite {
    private void awaitHealth(String node, int status) throws Exception {
        while (call(node, "GET", "/healthz", null).statusCode() != status) {
            Thread.onSpinWait();
        }
    }

    @Test
    void isNotHealthyUntilItIsNotAlone() throws Exception {
        awaitHealth(serving.get(0), 200);
        awaitHealth(serving.get(1), 200);
        daemons.get(1).stop();
        state.down(true);
        awaitHealth(serving.get(0), 503);
        // The state service is still down, but somebody is there who lost it, too: where all have, nobody sends users away.
        daemons.set(1, Daemon.start(settings.get(1), operator(), System.nanoTime() * 1e-9));
        awaitHealth(serving.get(0), 200);
        daemons.get(1).stop();
        awaitHealth(serving.get(0), 503);
        state.down(false);
        awaitHealth(serving.get(0), 200);
    }
}
