package io.kelphoist.delegation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Guards against a delegated renewal that the leader forgets while the worker's lease still runs:
 * it would take the lease for expired and start the tasks elsewhere too.
 */
class PeerDelegationTest {
    private static final List<String> MACHINES = List.of("vm-1", "vm-2", "vm-3");
    private static final long TERM = 1;
    private static final double STEP_SECONDS = 0.7;
    private static final int STEPS = 300;
    private static final double ROUNDING_SECONDS = 1e-6;

    private static long checkedRenewals;

    /** Time since the start of the peer's process, at time 0. */
    private static final double UPTIME_SECONDS = 1e6;

    /**
     * For any lengths of lease and delegation: what may have been renewed is known until its lease
     * has ended, whatever was excluded and renewed since, and whichever messages were lost.
     */
    @Property(tries = 400, seed = "47")
    void remembersEachRenewalUntilItsLeaseEnds(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 5, max = 120) double leaseSeconds,
            @ForAll @DoubleRange(min = 5, max = 30) double spareSeconds) {
        Random random = new Random(seed);
        DelegationTiming timing = DelegationTiming.of(leaseSeconds + spareSeconds, leaseSeconds);
        PeerDelegation leaderSide =
                new PeerDelegation(timing, "a", /* latestStartAtSeconds= */ -UPTIME_SECONDS);
        HeldDelegation peer = new HeldDelegation(timing, "a", /* incarnation= */ 1);
        Map<String, Double> renewedAtSeconds = new HashMap<>();
        boolean connected = true;
        for (int step = 1; step <= STEPS; step++) {
            double nowSeconds = step * STEP_SECONDS;
            connected ^= random.nextInt(8) == 0;
            exchangeMessages(leaderSide, peer, connected, random, nowSeconds);
            String machine = MACHINES.get(random.nextInt(MACHINES.size()));
            if (peer.allowsRenewal(machine, "a", TERM, nowSeconds)) {
                peer.onRenewal(nowSeconds);
                renewedAtSeconds.put(machine, nowSeconds);
            }
            assertRenewalsAreKnown(leaderSide, renewedAtSeconds, leaseSeconds, nowSeconds);
        }
    }

    /** Sends an offer, which may be lost, and a response to it, which may be lost. */
    private static void exchangeMessages(
            PeerDelegation leaderSide,
            HeldDelegation peer,
            boolean connected,
            Random random,
            double nowSeconds) {
        boolean isOffered = leaderSide.isSupported() && random.nextInt(4) > 0;
        DelegationOffer offer =
                isOffered ? leaderSide.nextOffer(TERM, drawExclusions(random), nowSeconds) : null;
        if (!connected) {
            return;
        }
        peer.onLeaderMessage(TERM, nowSeconds);
        if (offer != null) {
            peer.onOffer(offer, nowSeconds);
        }
        if (random.nextInt(10) > 0) {
            PeerStatus status = peer.statusFor(TERM, UPTIME_SECONDS + nowSeconds, nowSeconds);
            leaderSide.onResponse(nowSeconds, status, nowSeconds);
        }
    }

    private static Set<String> drawExclusions(Random random) {
        Set<String> exclusions = new TreeSet<>();
        for (String machine : MACHINES) {
            if (random.nextInt(3) > 0) {
                exclusions.add(machine);
            }
        }
        return exclusions;
    }

    private static void assertRenewalsAreKnown(
            PeerDelegation leaderSide,
            Map<String, Double> renewedAtSeconds,
            double leaseSeconds,
            double nowSeconds) {
        renewedAtSeconds.forEach(
                (machine, atSeconds) -> {
                    if (atSeconds + leaseSeconds > nowSeconds) {
                        checkedRenewals++;
                        double knownAtSeconds =
                                leaderSide.latestRenewalAtSeconds(machine, nowSeconds);
                        assertTrue(
                                knownAtSeconds >= atSeconds - ROUNDING_SECONDS,
                                () ->
                                        "at %s: %s was renewed at %s, known: %s"
                                                .formatted(
                                                        nowSeconds,
                                                        machine,
                                                        atSeconds,
                                                        knownAtSeconds));
                    }
                });
    }

    @AfterContainer
    static void renewalsOccurred() {
        assertTrue(checkedRenewals > 10_000, checkedRenewals + " checks, expected over 10,000");
    }
}
