package io.kelphoist.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A worker must be answered within its lease (10 s here); a node tried in vain costs it 5 s. */
class RoutesTest {
    private static final Routes.Route RELAY = new Routes.Route(true, "lead");
    private static final Routes.Route REDIRECT = new Routes.Route(false, "lead");
    private final Routes routes = new Routes(List.of("lead", "third"), 10);

    @Test
    void redirectsOnlyWithFreshLease() {
        assertEquals(RELAY, routes.route("vm-1", "lead", true, 100));
        routes.relayed("vm-1", true, 100);
        assertEquals(REDIRECT, routes.route("vm-1", "lead", true, 101.5));
    }

    @Test
    void relaysWhoComesBack() {
        routes.route("vm-1", "lead", true, 100);
        routes.relayed("vm-1", true, 100);
        assertEquals(REDIRECT, routes.route("vm-1", "lead", true, 101.5));
        assertEquals(RELAY, routes.route("vm-1", "lead", true, 106.5));
        routes.relayed("vm-1", true, 106.5);
        assertEquals(RELAY, routes.route("vm-1", "lead", true, 108));
        assertEquals(REDIRECT, routes.route("vm-1", "lead", true, afterRelaying()));
    }

    private double afterRelaying() {
        routes.relayed("vm-1", true, 139);
        return 140;
    }

    @Test
    void sendsOnWhereTheLeaderIsNotHeard() {
        assertEquals(new Routes.Route(false, "third"), routes.route("vm-1", "lead", false, 100));
        assertEquals(new Routes.Route(false, null), routes.route("vm-1", null, false, 100));
    }
}
