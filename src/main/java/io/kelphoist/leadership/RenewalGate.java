package io.kelphoist.leadership;

import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.WorkerCommand;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single check that every lease renewal and every task start of the leader must pass at the
 * moment when it is sent: the cancellation watermark, up to which all cancellations that were
 * confirmed to users have been received here, must be recent. If it is too old, another controller
 * may have confirmed a cancellation to a user so long ago that the job's tasks must no longer run.
 *
 * <p>Owns whether the gate is blocked, which is used only to log changes. Confined to the
 * controller's event loop.
 */
public final class RenewalGate {
    private static final Logger LOG = LoggerFactory.getLogger(RenewalGate.class);
    private static final double MAX_LOGGED_AGE_SECONDS = 1e6;

    private final DelegationTiming timing;
    private final EventLoop loop;
    private final DoubleSupplier cancellationWatermarkSeconds;
    private final ControllerCounters counters;
    private boolean isBlocked;

    /**
     * Creates the gate, which counts as not blocked until the first check.
     *
     * @param cancellationWatermarkSeconds the moment up to which all confirmed cancellations have
     *     been received here, on the loop's clock
     */
    public RenewalGate(
            DelegationTiming timing,
            EventLoop loop,
            DoubleSupplier cancellationWatermarkSeconds,
            ControllerCounters counters) {
        this.timing = timing;
        this.loop = loop;
        this.cancellationWatermarkSeconds = cancellationWatermarkSeconds;
        this.counters = counters;
    }

    /**
     * Checks whether the leader may renew a lease or start a task at this moment. Counts a withheld
     * response if not, and logs each change of the result.
     */
    public boolean checkRenewalAllowed() {
        double nowSeconds = loop.nowSeconds();
        double watermarkSeconds = cancellationWatermarkSeconds.getAsDouble();
        boolean isAllowed = timing.allowsRenewal(watermarkSeconds, nowSeconds);
        if (!isAllowed) {
            counters.onResponseWithheld();
        }
        if (isAllowed == isBlocked) {
            isBlocked = !isAllowed;
            LOG.warn(
                    isAllowed
                            ? "lease renewals and task starts resumed: watermarkAgeSeconds={}"
                            : "lease renewals and task starts blocked: watermarkAgeSeconds={}",
                    Math.round(Math.min(MAX_LOGGED_AGE_SECONDS, nowSeconds - watermarkSeconds)));
        }
        return isAllowed;
    }

    /**
     * Returns those of the commands that may be sent to a worker at this moment: task starts only
     * if {@link #checkRenewalAllowed} returns true, all other commands always.
     */
    List<WorkerCommand> permittedCommands(List<WorkerCommand> commands) {
        return checkRenewalAllowed()
                ? commands
                : commands.stream()
                        .filter(command -> !(command instanceof WorkerCommand.Start))
                        .toList();
    }
}
