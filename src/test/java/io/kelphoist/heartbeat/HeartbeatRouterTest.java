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

    /** The leader is in zone a, the other follower in zone c. */
    private final HeartbeatRouter router =
            new HeartbeatRouter(ImmutableMap.of("lead", "a", "third", "c"), /* leaseSeconds= */ 10);

    /**
     * A redirect to a leader to which the worker cannot connect takes 5 s of its lease. So the
     * first heartbeat must be relayed, which renews the lease, before the worker is redirected.
     */
    @Test
    void redirectsToLeaderOnlyWhileLeaseIsFresh() {
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 100));
        router.onRelayEnded("vm-1", true, 100);
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, 101.5));
    }

    /**
     * A worker that returns 5 s after a redirect to the leader could not connect to it. Its
     * heartbeats must be relayed for 30 s, instead of redirecting it each time. After that it must
     * be redirected again.
     */
    @Test
    void relaysWhileReturnedWorkerCannotConnectToLeader() {
        router.route("vm-1", LEADER, true, 100);
        router.onRelayEnded("vm-1", true, 100);
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, 101.5));
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 106.5));
        router.onRelayEnded("vm-1", true, 106.5);
        assertEquals(RELAY, router.route("vm-1", LEADER, true, 108));
        assertEquals(REDIRECT, router.route("vm-1", LEADER, true, renewLeaseUntilNextHeartbeat()));
    }

    /** Reports a successful relay at 139 s, and returns the time of the next heartbeat, 140 s. */
    private double renewLeaseUntilNextHeartbeat() {
        router.onRelayEnded("vm-1", true, 139);
        return 140;
    }

    /**
     * The other follower, in a third zone, responds to the worker, but redirects it once to the
     * leader, to which the worker cannot connect. So redirects to the other follower must count as
     * failed only after the second one, and only within the lease. One is enough if the other
     * follower is in the leader's zone.
     */
    @Test
    void redirectsTwiceToControllerInThirdZone() {
        assertFalse(
                router.haveRedirectsFailed("vm-1", "lead", 100),
                "failed without a redirect, expected not failed");
        router.route("vm-1", LEADER, /* hasLeaderContact= */ false, 100);
        assertFalse(
                router.haveRedirectsFailed("vm-1", "lead", 106),
                "failed after one redirect to a third zone, expected not failed");
        router.route("vm-1", LEADER, /* hasLeaderContact= */ false, 106);
        assertTrue(
                router.haveRedirectsFailed("vm-1", "lead", 111),
                "not failed 5 s after the second redirect, expected failed");
        assertFalse(
                router.haveRedirectsFailed("vm-1", "lead", 116),
                "failed 10 s after the last redirect, a whole lease, expected not failed");
        HeartbeatRouter twoZones =
                new HeartbeatRouter(
                        ImmutableMap.of("lead", "a", "third", "a"), /* leaseSeconds= */ 10);
        twoZones.route("vm-1", LEADER, /* hasLeaderContact= */ false, 100);
        assertTrue(
                twoZones.haveRedirectsFailed("vm-1", "lead", 106),
                "not failed after one redirect to the leader's zone, expected failed");
    }

    /**
     * A controller without contact to the leader cannot relay to it. It must redirect the worker to
     * the other follower, or to any controller if the leader is unknown.
     */
    @Test
    void redirectsToOtherPeerWithoutLeaderContact() {
        assertEquals(
                new HeartbeatRouter.Redirect(Optional.of("third")),
                router.route("vm-1", LEADER, /* hasLeaderContact= */ false, 100));
        assertEquals(
                new HeartbeatRouter.Redirect(Optional.empty()),
                router.route(
                        "vm-1",
                        /* leader= */ Optional.empty(),
                        /* hasLeaderContact= */ false,
                        100));
    }
}
