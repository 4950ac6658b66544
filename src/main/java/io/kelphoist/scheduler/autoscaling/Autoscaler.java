package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales the cluster out for tasks that could not be placed and for headroom, and scales it in by
 * terminating machines that are idle, drained, lost, unreachable or did not boot in time. Decides
 * twice a second; {@link ScaleOutPlan}, {@link MachineConsolidator} and {@link ScaleInController}
 * make the individual decisions.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    private static final double RUN_INTERVAL_SECONDS = 0.5;
    private static final double SUMMARY_INTERVAL_SECONDS = 5;

    private final JobRegistry jobs;
    private final MachineRegistry machines;
    private final MachineCatalog catalog;
    private final SchedulingPolicy policy;
    private final PromotionGate promotionGate;
    private final BootTimeEstimator bootTimes;
    private final ScaleOutRequests scaleOutRequests;
    private final MachineConsolidator consolidator;
    private final ScaleInController scaleInController;
    private final InstanceListReconciler instanceListReconciler;

    private double nextRunAtSeconds;
    private double nextSummaryAtSeconds;

    /**
     * Creates the autoscaler of one leader's term.
     *
     * @param context provides its collaborators; not kept
     * @param promotionGate prevents a new leader from requesting machines again that an earlier
     *     leader has requested
     * @param bootTimes estimates from boot durations, which the {@code heartbeats} package records
     */
    public Autoscaler(
            SchedulerContext context, PromotionGate promotionGate, BootTimeEstimator bootTimes) {
        this.promotionGate = promotionGate;
        this.bootTimes = bootTimes;
        jobs = context.jobs();
        machines = context.machines();
        catalog = context.catalog();
        policy = context.policy();
        SchedulerOutput output = context.output();
        scaleOutRequests = new ScaleOutRequests(context.term(), catalog, machines, output);
        consolidator = new MachineConsolidator(machines, context.attemptLifecycle());
        scaleInController = new ScaleInController(machines, policy, output, bootTimes);
        instanceListReconciler =
                new InstanceListReconciler(machines, catalog, context.machineLifecycle());
    }

    /**
     * Decides on scale-out and scale-in, if a decision is due. Sends due retries of scale-out
     * requests on every call.
     *
     * @param unplacedJobs jobs that still have pending tasks after the allocator's run, most urgent
     *     first
     */
    public void scaleToDemand(List<Job> unplacedJobs, double nowSeconds) {
        scaleOutRequests.retryDueRequests(nowSeconds);
        if (nowSeconds < nextRunAtSeconds) {
            return;
        }
        nextRunAtSeconds = nowSeconds + RUN_INTERVAL_SECONDS;
        logSummaryIfDue(unplacedJobs, nowSeconds);
        ScaleOutPlan plan =
                ScaleOutPlan.create(machines, catalog, scaleOutRequests, bootTimes, nowSeconds);
        unplacedJobs.forEach(plan::addDemand);
        double headroomMachines = headroomMachines(plan);
        consolidator.consolidate(!unplacedJobs.isEmpty(), headroomMachines, nowSeconds);
        double surplusMachines = plan.addHeadroom(headroomMachines);
        if (promotionGate.mayScaleOut(nowSeconds)) {
            plan.newMachinesByPool().forEach(scaleOutRequests::request);
        }
        scaleInController.markMachines(surplusMachines, nowSeconds);
        scaleInController.requestTermination(nowSeconds);
    }

    /** The headroom to provide, in machines; 0 while there are no jobs, or if none is set. */
    private double headroomMachines(ScaleOutPlan plan) {
        return jobs.all().isEmpty() || policy.headroom() == 0
                ? 0
                : plan.headroomMachines(policy.headroom());
    }

    private void logSummaryIfDue(List<Job> unplacedJobs, double nowSeconds) {
        if (LOG.isDebugEnabled() && nowSeconds >= nextSummaryAtSeconds) {
            nextSummaryAtSeconds = nowSeconds + SUMMARY_INTERVAL_SECONDS;
            FleetSummary.of(machines.all(), unplacedJobs)
                    .log(LOG, scaleOutRequests.pending().size());
        }
    }

    /** Applies the result of a scale-out request; see {@link ScaleOutRequests#onResponse}. */
    public void onScaleOutResponse(
            ScaleOutRequest request, ScaleOutResult result, double nowSeconds) {
        scaleOutRequests.onResponse(request, result, nowSeconds);
    }

    /** Applies a page of the cloud's instance list; see {@link InstanceListReconciler}. */
    public void onInstanceListPage(InstanceListPage page, double nowSeconds) {
        instanceListReconciler.onPage(page, nowSeconds);
    }

    /** Called when the cloud has confirmed the termination request in flight. */
    public void onScaleInConfirmed() {
        scaleInController.onConfirmed();
    }

    /**
     * Called when the outcome of the termination request in flight is unknown; machines that are
     * still to be terminated are requested again.
     */
    public void onScaleInFailed(double nowSeconds) {
        scaleInController.onFailed(nowSeconds);
    }
}
