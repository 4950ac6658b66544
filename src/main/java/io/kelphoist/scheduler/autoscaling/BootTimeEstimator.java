package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.scheduler.cluster.Machine;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long machines take to boot, by type and zone, from recent boots. The cloud gives
 * only a nominal time: some machines take several times as long, at times all of a zone do, and a
 * few never boot. A machine is given up early if one that was launched after it has booted. If none
 * has, giving up would only launch the next one into the same trouble.
 *
 * <p>Owns the recent boots.
 */
public final class BootTimeEstimator {
    private record BootPool(String machineType, int zone) {}

    private record Boot(double durationSeconds, double launchedAtSeconds, double bootedAtSeconds) {}

    /** A machine that boots for so many nominal times is not counted on any more. */
    private static final double SLOW_BOOT_FACTOR = 1.8;

    /** A machine is given up after so many nominal times if a later one has booted. */
    private static final double GIVE_UP_FACTOR = 3.5;

    /** A machine is given up after so many nominal times in any case. */
    private static final double GIVE_UP_FACTOR_WITHOUT_LATER_BOOT = 8;

    /** Older boots say nothing of the present. */
    private static final double MAX_SAMPLE_AGE_SECONDS = 240;

    /** A machine is counted on for this many times the longest recent boot. */
    private static final double USUAL_BOOT_MARGIN = 1.2;

    private static final int MAX_SAMPLES = 32;

    private final Map<BootPool, Deque<Boot>> bootsByPool = new HashMap<>();

    /** The machine's worker sent its first heartbeat. */
    public void onBooted(Machine machine, double nowSeconds) {
        Deque<Boot> boots =
                bootsByPool.computeIfAbsent(poolOf(machine), pool -> new ArrayDeque<>());
        boots.add(
                new Boot(
                        nowSeconds - machine.launchedAtSeconds(),
                        machine.launchedAtSeconds(),
                        nowSeconds));
        if (boots.size() > MAX_SAMPLES) {
            boots.poll();
        }
    }

    private static BootPool poolOf(Machine machine) {
        return new BootPool(machine.type().name(), machine.zone());
    }

    private Deque<Boot> recentBoots(Machine machine, double nowSeconds) {
        Deque<Boot> boots = bootsByPool.getOrDefault(poolOf(machine), new ArrayDeque<>());
        boots.removeIf(boot -> boot.bootedAtSeconds < nowSeconds - MAX_SAMPLE_AGE_SECONDS);
        return boots;
    }

    /** Whether the machine may still be counted on for pending tasks. */
    boolean isBootExpected(Machine machine, double nowSeconds) {
        double usualSeconds =
                recentBoots(machine, nowSeconds).stream()
                        .mapToDouble(Boot::durationSeconds)
                        .max()
                        .orElse(0);
        return nowSeconds - machine.launchedAtSeconds()
                < Math.max(
                        SLOW_BOOT_FACTOR * machine.type().bootSeconds(),
                        USUAL_BOOT_MARGIN
                                * Math.min(
                                        usualSeconds,
                                        GIVE_UP_FACTOR_WITHOUT_LATER_BOOT
                                                * machine.type().bootSeconds()));
    }

    /** Whether the machine will not boot, or is not worth waiting for. */
    boolean hasBootTimedOut(Machine machine, double nowSeconds) {
        double waitSeconds = nowSeconds - machine.launchedAtSeconds();
        boolean laterMachineBooted =
                recentBoots(machine, nowSeconds).stream()
                        .anyMatch(boot -> boot.launchedAtSeconds > machine.launchedAtSeconds());
        return waitSeconds > GIVE_UP_FACTOR_WITHOUT_LATER_BOOT * machine.type().bootSeconds()
                || (laterMachineBooted
                        && waitSeconds > GIVE_UP_FACTOR * machine.type().bootSeconds());
    }
}
