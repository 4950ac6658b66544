package io.kelphoist.leadership;

import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.function.BiConsumer;

/**
 * Settings and services of the controller process that each of its terms uses.
 *
 * @param renewalGate withholds lease renewals and task starts while this controller may lack
 *     cancellations that were confirmed to users
 * @param requestTick schedules a tick soon, after an event that may allow new decisions
 * @param taskEventListener receives each event of a job's tasks, on the event loop
 */
public record LeaderContext(
        PlatformSettings settings,
        OperatorSettings operatorSettings,
        EventLoop eventLoop,
        ControllerCounters counters,
        RenewalGate renewalGate,
        Runnable requestTick,
        BiConsumer<Job, TaskEvent> taskEventListener) {
    double nowSeconds() {
        return eventLoop.nowSeconds();
    }
}
