package io.kelphoist.scheduler;

import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.allocation.Allocator;
import io.kelphoist.scheduler.allocation.QueueWaitTracker;
import io.kelphoist.scheduler.autoscaling.Autoscaler;
import io.kelphoist.scheduler.autoscaling.BootTimeEstimator;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.heartbeats.AttemptReconciler;
import io.kelphoist.scheduler.heartbeats.DeliveryOutcomeHandler;
import io.kelphoist.scheduler.heartbeats.HeartbeatApplier;
import io.kelphoist.scheduler.heartbeats.HeartbeatHandler;
import io.kelphoist.scheduler.heartbeats.HeartbeatSenderResolver;
import io.kelphoist.scheduler.heartbeats.MachineProber;
import io.kelphoist.scheduler.heartbeats.TaskAttemptHandler;
import io.kelphoist.scheduler.images.ImageCatalog;
import io.kelphoist.scheduler.jobrecords.JobDependencies;
import io.kelphoist.scheduler.jobrecords.JobEndWriter;
import io.kelphoist.scheduler.jobrecords.JobFactory;
import io.kelphoist.scheduler.jobrecords.JobReconciler;
import io.kelphoist.scheduler.jobrecords.JobRecordHandler;
import io.kelphoist.scheduler.lifecycle.AttemptLifecycle;
import io.kelphoist.scheduler.lifecycle.CommandDispatcher;
import io.kelphoist.scheduler.lifecycle.LeaseMonitor;
import io.kelphoist.scheduler.lifecycle.MachineLifecycle;
import io.kelphoist.scheduler.lifecycle.SchedulerContext;
import io.kelphoist.scheduler.placement.ActiveCandidates;
import io.kelphoist.scheduler.records.ImageCacheRecords;
import io.kelphoist.scheduler.records.ProgressRecords;
import io.kelphoist.scheduler.records.SchedulerRecords;
import io.kelphoist.scheduler.records.StartIntentLog;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.Collection;

/** Creates and connects the components of one term's scheduler. */
final class SchedulerComponents {
    final SchedulerContext context;
    final ImageCatalog imageCatalog = new ImageCatalog();
    final SchedulerRecords records;
    final CommandDispatcher commandDispatcher;
    final JobFactory jobFactory;
    final JobDependencies jobDependencies;
    final JobRecordHandler jobRecordHandler;
    final JobEndWriter jobEndWriter;
    final JobReconciler jobReconciler;
    final QueueWaitTracker queueWaitTracker;
    final StateRecovery stateRecovery;
    final HeartbeatSenderResolver senderResolver;
    final HeartbeatHandler heartbeatHandler;
    final DeliveryOutcomeHandler deliveryOutcomeHandler;
    final LeaseMonitor leaseMonitor;
    final Allocator allocator;
    final Autoscaler autoscaler;

    SchedulerComponents(
            SchedulingPolicy policy,
            SchedulerOutput output,
            DelegatedRenewals delegatedRenewals,
            PromotionGate promotionGate,
            long term,
            Collection<MachineType> machineTypes) {
        MachineCatalog catalog = new MachineCatalog(policy.zones());
        catalog.addTypes(machineTypes);
        records = createRecords(policy, output, catalog);
        commandDispatcher = new CommandDispatcher(output, policy.heartbeatIntervalSeconds());
        context = createContext(policy, output, term, catalog);
        JobRegistry jobs = context.jobs();
        jobFactory = new JobFactory(policy.teams(), imageCatalog, catalog.zones());
        jobDependencies = new JobDependencies(jobs, output);
        jobRecordHandler =
                new JobRecordHandler(
                        jobs,
                        jobDependencies,
                        jobFactory,
                        context.attemptLifecycle(),
                        records.progress(),
                        output);
        jobEndWriter = new JobEndWriter(jobs, output);
        jobReconciler = new JobReconciler(jobs, jobFactory);
        queueWaitTracker = new QueueWaitTracker(jobs);
        stateRecovery = new StateRecovery(context, jobDependencies, records);
        BootTimeEstimator bootTimeEstimator = new BootTimeEstimator();
        senderResolver = new HeartbeatSenderResolver(term, catalog, context.machines());
        MachineProber prober = new MachineProber(promotionGate, output);
        HeartbeatApplier applier = createHeartbeatApplier(bootTimeEstimator);
        heartbeatHandler =
                new HeartbeatHandler(
                        term, policy.leaseSeconds(), senderResolver, applier, prober, jobs);
        deliveryOutcomeHandler =
                new DeliveryOutcomeHandler(context, senderResolver, applier, prober);
        leaseMonitor = new LeaseMonitor(context, delegatedRenewals);
        allocator = Allocator.create(context);
        autoscaler = new Autoscaler(context, promotionGate, bootTimeEstimator);
    }

    private SchedulerRecords createRecords(
            SchedulingPolicy policy, SchedulerOutput output, MachineCatalog catalog) {
        return new SchedulerRecords(
                new StartIntentLog(policy, catalog.zones(), output),
                new ProgressRecords(policy, output),
                new ImageCacheRecords(policy, imageCatalog, output));
    }

    private SchedulerContext createContext(
            SchedulingPolicy policy, SchedulerOutput output, long term, MachineCatalog catalog) {
        JobRegistry jobs = new JobRegistry();
        MachineRegistry machines = new MachineRegistry(records.images()::restoreMachine);
        ActiveCandidates activeCandidates = new ActiveCandidates();
        AttemptLifecycle attempts =
                new AttemptLifecycle(
                        term, jobs, records.starts(), commandDispatcher, output, activeCandidates);
        return new SchedulerContext(
                policy,
                output,
                term,
                catalog,
                machines,
                jobs,
                attempts,
                new MachineLifecycle(machines, attempts, records.starts(), records.images()),
                activeCandidates);
    }

    private HeartbeatApplier createHeartbeatApplier(BootTimeEstimator bootTimeEstimator) {
        TaskAttemptHandler attemptHandler =
                new TaskAttemptHandler(
                        context.attemptLifecycle(),
                        jobEndWriter,
                        imageCatalog,
                        records,
                        context.output());
        AttemptReconciler attemptReconciler =
                new AttemptReconciler(
                        context.jobs(),
                        jobDependencies,
                        context.attemptLifecycle(),
                        attemptHandler,
                        context.machineLifecycle(),
                        records.starts());
        return new HeartbeatApplier(
                context.term(), context.catalog().zones(), bootTimeEstimator, attemptReconciler);
    }
}
