package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.scheduler.cluster.Machine;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long machines take to boot, by type and zone, from recent boots. The cloud reports
 * only a nominal boot time: some machines take several times as long, sometimes all machines of a
 * zone do, and a few never boot.
 *
 * <p>The boot of a machine times out early if a machine of the same type and zone that was launched
 * later has booted recently. If none has, a replacement would probably meet the same problem, and
 * is only launched after a longer timeout.
 *
 * <p>Owns the recent boots.
 */
public final class BootTimeEstimator {
    private record BootPool(String machineType, int zone) {}

    private record Boot(double durationSeconds, double launchedAtSeconds, double bootedAtSeconds) {}

    /**
     * Scale-out plans include a booting machine for at least this multiple of its nominal boot
     * time.
     */
    private static final double SLOW_BOOT_FACTOR = 1.8;

    /** Boot timeout, in nominal boot times, if a machine that was launched later has booted. */
    private static final double BOOT_TIMEOUT_FACTOR_AFTER_LATER_BOOT = 3.5;

    /** Boot timeout, in nominal boot times, in any case. */
    private static final double BOOT_TIMEOUT_FACTOR = 8;

    /** Older boots no longer indicate how long machines take to boot now. */
    private static final double MAX_SAMPLE_AGE_SECONDS = 240;

    /**
     * Scale-out plans include a booting machine for this multiple of the longest recent boot, if
     * that is longer. Of the boot, at most {@link #BOOT_TIMEOUT_FACTOR} nominal boot times count.
     */
    private static final double RECENT_BOOT_MARGIN_FACTOR = 1.2;

    private static final int MAX_SAMPLES_PER_POOL = 32;

    private final Map<BootPool, Deque<Boot>> bootsByPool = new HashMap<>();

    /** Records the boot of a machine whose worker sent its first heartbeat. */
    public void onBooted(Machine machine, double nowSeconds) {
        Deque<Boot> boots =
                bootsByPool.computeIfAbsent(poolOf(machine), pool -> new ArrayDeque<>());
        boots.add(
                new Boot(
                        nowSeconds - machine.launchedAtSeconds(),
                        machine.launchedAtSeconds(),
                        nowSeconds));
        if (boots.size() > MAX_SAMPLES_PER_POOL) {
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

    /**
     * Whether the machine is expected to boot soon enough for scale-out plans to place pending
     * tasks on it.
     */
    boolean isBootExpected(Machine machine, double nowSeconds) {
        double longestRecentBootSeconds =
                recentBoots(machine, nowSeconds).stream()
                        .mapToDouble(Boot::durationSeconds)
                        .max()
                        .orElse(0);
        return nowSeconds - machine.launchedAtSeconds()
                < Math.max(
                        SLOW_BOOT_FACTOR * machine.type().bootSeconds(),
                        RECENT_BOOT_MARGIN_FACTOR
                                * Math.min(
                                        longestRecentBootSeconds,
                                        BOOT_TIMEOUT_FACTOR * machine.type().bootSeconds()));
    }

    /** Whether the machine is to be terminated because it has not booted in time. */
    boolean hasBootTimedOut(Machine machine, double nowSeconds) {
        double waitSeconds = nowSeconds - machine.launchedAtSeconds();
        boolean laterMachineBooted =
                recentBoots(machine, nowSeconds).stream()
                        .anyMatch(boot -> boot.launchedAtSeconds > machine.launchedAtSeconds());
        return waitSeconds > BOOT_TIMEOUT_FACTOR * machine.type().bootSeconds()
                || (laterMachineBooted
                        && waitSeconds
                                > BOOT_TIMEOUT_FACTOR_AFTER_LATER_BOOT
                                        * machine.type().bootSeconds());
    }
}
