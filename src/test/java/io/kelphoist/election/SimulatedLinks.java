package io.kelphoist.election;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** One-way links between controllers. Messages on a blocked link are held until it is unblocked. */
final class SimulatedLinks {
    /** One direction between two controllers. */
    private record Link(SimulatedController from, SimulatedController to) {}

    private static final double HELD_MESSAGE_DELAY_SECONDS = 0.01;

    private final SimulatedTimeline timeline;
    private final Random random;
    private final Map<Link, List<Runnable>> heldMessages = new HashMap<>();
    private final Set<Link> blockedLinks = new HashSet<>();

    SimulatedLinks(SimulatedTimeline timeline, Random random) {
        this.timeline = timeline;
        this.random = random;
    }

    void setBlocked(SimulatedController from, SimulatedController to, boolean blocked) {
        Link link = new Link(from, to);
        if (blocked) {
            blockedLinks.add(link);
            return;
        }
        blockedLinks.remove(link);
        List<Runnable> held = heldMessages.remove(link);
        if (held != null) {
            held.forEach(message -> timeline.schedule(HELD_MESSAGE_DELAY_SECONDS, message));
        }
    }

    /** Delivers a message after up to 70 ms, or holds it while the link is blocked. */
    void send(SimulatedController from, SimulatedController to, Runnable onArrival) {
        long incarnation = to.incarnation();
        Runnable message =
                () -> {
                    // A restarted process has new connections; messages on its old connections are
                    // lost.
                    if (to.incarnation() == incarnation) {
                        to.schedule(0, onArrival);
                    }
                };
        Link link = new Link(from, to);
        if (blockedLinks.contains(link)) {
            heldMessages.computeIfAbsent(link, key -> new ArrayList<>()).add(message);
        } else {
            timeline.schedule(random.nextInt(8) / 100.0, message);
        }
    }
}
