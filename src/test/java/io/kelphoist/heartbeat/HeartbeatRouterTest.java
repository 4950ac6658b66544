package io.kelphoist.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * A worker must get a response within its lease, which is 10 s here, and waits 5 s for a controller
 * that does not respond. Guards against routes that let the lease expire while some controller
 * could have had it renewed.
 */
class HeartbeatRouterTest {
    private static final Optional<String> LEADER = Optional.of("lead");
    private static final HeartbeatRouter.Route RELAY = new HeartbeatRouter.Relay("lead");
    private static final HeartbeatRouter.Route REDIRECT =
            new HeartbeatRouter.Redirect(Optional.of("lead"));
    private final HeartbeatRouter router =
            new HeartbeatRouter(ImmutableMap.of("lead", "a", "third", "c"), 10);

    @Test
    void redirectsToLeaderOnlyWhileLeaseIsFresh() {
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 100));
        router.onRelayEnded("vm-1", true, 100);
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, 101.5));
    }

    @Test
    void relaysWhileReturnedWorkerCannotConnectToLeader() {
        router.route("vm-1", LEADER, true, 100);
        router.onRelayEnded("vm-1", true, 100);
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, 101.5));
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 106.5));
        router.onRelayEnded("vm-1", true, 106.5);
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 108));
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, relayAndReturnNextSeconds()));
    }

    /** Reports a successful relay at 139 s, and returns when the next heartbeat arrives. */
    private double relayAndReturnNextSeconds() {
        router.onRelayEnded("vm-1", true, 139);
        return 140;
    }

    /**
     * The controller in the third zone responds to the worker, but redirects it once to the leader,
     * to which the worker cannot connect. So the redirects to this controller have failed only
     * after the second one. One is enough if the controller is in the leader's zone.
     */
    @Test
    void redirectsTwiceToControllerInThirdZone() {
        assertFalse(router.haveRedirectsFailed("vm-1", "lead", 100));
        router.route("vm-1", LEADER, false, 100);
        assertFalse(router.haveRedirectsFailed("vm-1", "lead", 106));
        router.route("vm-1", LEADER, false, 106);
        assertTrue(router.haveRedirectsFailed("vm-1", "lead", 111));
        assertFalse(router.haveRedirectsFailed("vm-1", "lead", 116));
        HeartbeatRouter twoZones =
                new HeartbeatRouter(ImmutableMap.of("lead", "a", "third", "a"), 10);
        twoZones.route("vm-1", LEADER, false, 100);
        assertTrue(twoZones.haveRedirectsFailed("vm-1", "lead", 106));
    }

    @Test
    void redirectsToOtherPeerWithoutLeaderContact() {
        assertEquals(
                new HeartbeatRouter.Redirect(Optional.of("third")),
                router.route("vm-1", LEADER, false, 100));
        assertEquals(
                new HeartbeatRouter.Redirect(Optional.empty()),
                router.route("vm-1", Optional.empty(), false, 100));
    }
}
