package io.kelphoist.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.wire.HttpExchanges;
import java.io.Serializable;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Dependencies between packages, and where the field names and encodings of messages may be used.
 * Guards against cycles between packages, against I/O in packages whose logic must depend only on
 * its inputs, and against encodings outside the codecs.
 */
class ArchitectureTest {
    private static final String ROOT = "io.kelphoist";

    /** Packages whose logic does no I/O and depends only on its inputs. */
    private static final String[] PURE_PACKAGES = {
        ROOT + ".model..",
        ROOT + ".election..",
        ROOT + ".scheduler..",
        ROOT + ".records..",
        ROOT + ".replication..",
        ROOT + ".failover..",
        ROOT + ".delegation..",
        ROOT + ".cancellation..",
        ROOT + ".sockets.."
    };

    private static final String SCHEDULER = ROOT + ".scheduler";

    /**
     * The packages below {@link #SCHEDULER}, lowest first. Each may depend on those before it, and
     * none on those after it or on the package {@link #SCHEDULER} itself.
     */
    private static final List<String> SCHEDULER_PACKAGES =
            List.of(
                    "images",
                    "reachability",
                    "cluster",
                    "spi",
                    "records",
                    "placement",
                    "lifecycle",
                    "preemption",
                    "allocation",
                    "autoscaling",
                    "jobrecords",
                    "heartbeats");

    /**
     * Members of the scheduler's state that packages outside the scheduler may use: these only read
     * it. Members that change the state are public only for the scheduler's own packages.
     */
    private static final Set<String> SCHEDULER_STATE_READ_OUTSIDE =
            Set.of(
                    "Job.doneTaskCount",
                    "Job.record",
                    "Job.runningTaskCount",
                    "Job.spec",
                    "Machine.address",
                    "Machine.agentEpoch",
                    "Machine.agentEpochHint",
                    "Machine.awaitsFirstHeartbeat",
                    "Machine.hasAttempts",
                    "Machine.hasGangOrServiceTask",
                    "Machine.isPreviousLeaderCommandOutcomeUnknown",
                    "Machine.isSuspected",
                    "Machine.name",
                    "Machine.spot",
                    "Machine.state",
                    "Machine.type",
                    "Machine.zone",
                    "TaskAttempt.job",
                    "TaskAttempt.machine",
                    "TaskAttempt.taskIndex");

    /** Field names and encodings of the API, the workers and the cloud. */
    private static final String WIRE = ROOT + ".wire";

    /** Field names and encodings of messages between controllers. */
    private static final String PEER = ROOT + ".peer";

    /** Field names and encodings of the state store and of the records there. */
    private static final String STATE_STORE_PROTOCOL = ROOT + ".statestore.protocol";

    private static final String[] CODEC_PACKAGES = {
        WIRE + "..", PEER + "..", STATE_STORE_PROTOCOL + ".."
    };

    private static final String JACKSON = "com.fasterxml.jackson..";

    /**
     * Classes outside the codec packages that use Jackson. Add no class; to remove one, move its
     * encoding to a codec.
     */
    private static final Set<String> USE_JACKSON_OUTSIDE_CODECS =
            Set.of(
                    "archive.ClassArchiveTraining",
                    "archive.ClassArchiveTrainingServer",
                    "config.JsonSettings",
                    "emulator.EmulatedCloud",
                    "emulator.EmulatedService",
                    "emulator.EmulatedStateStore",
                    "emulator.EmulatedWorker");

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    @Test
    void purePackagesDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage(PURE_PACKAGES)
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(PURE_PACKAGES)
                                .or(
                                        resideInAnyPackage(
                                                "java.lang..",
                                                "java.math..",
                                                "java.time..",
                                                "java.util..",
                                                "it.unimi.dsi.fastutil..",
                                                "com.google.common.base..",
                                                "com.google.common.cache..",
                                                "com.google.common.collect..",
                                                "com.google.common.hash..",
                                                "java.nio.charset..",
                                                "com.google.common.primitives..",
                                                "org.slf4j.."))
                                .or(equivalentTo(Serializable.class)))
                .because(
                        "the logic of these packages depends only on its inputs; move I/O to the"
                                + " packages that call them")
                .check(CLASSES);
    }

    @Test
    void packagesFormNoCycles() {
        slices().matching(ROOT + ".(*)..")
                .should()
                .beFreeOfCycles()
                .because("a package in a cycle can't be understood or changed on its own")
                .check(CLASSES);
    }

    @Test
    void schedulerPackagesDependOnLowerOnesOnly() {
        for (int i = 0; i < SCHEDULER_PACKAGES.size(); i++) {
            List<String> higher = new ArrayList<>(List.of(SCHEDULER));
            for (String name : SCHEDULER_PACKAGES.subList(i + 1, SCHEDULER_PACKAGES.size())) {
                higher.add(SCHEDULER + "." + name + "..");
            }
            noClasses()
                    .that()
                    .resideInAPackage(SCHEDULER + "." + SCHEDULER_PACKAGES.get(i) + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(higher.toArray(String[]::new))
                    .because(
                            "the scheduler's packages are read from the lowest up, so each depends"
                                    + " only on lower ones")
                    .check(CLASSES);
        }
    }

    @Test
    void allSchedulerPackagesHaveTheirPlaceInTheOrder() {
        Set<String> found = new TreeSet<>();
        for (JavaClass javaClass : CLASSES) {
            if (javaClass.getPackageName().startsWith(SCHEDULER + ".")) {
                found.add(javaClass.getPackageName().substring(SCHEDULER.length() + 1));
            }
        }
        assertEquals(
                new TreeSet<>(SCHEDULER_PACKAGES),
                found,
                "SCHEDULER_PACKAGES lists all packages below " + SCHEDULER);
    }

    @Test
    void otherPackagesOnlyReadTheStateOfTheScheduler() {
        Set<String> used = new TreeSet<>();
        for (JavaClass javaClass : CLASSES) {
            if (!resideInAnyPackage(SCHEDULER + "..").test(javaClass)) {
                for (JavaAccess<?> access : javaClass.getAccessesFromSelf()) {
                    JavaClass owner = access.getTargetOwner();
                    if (isSchedulerState(owner)) {
                        used.add(owner.getSimpleName() + "." + access.getTarget().getName());
                    }
                }
            }
        }
        assertEquals(
                new TreeSet<>(SCHEDULER_STATE_READ_OUTSIDE),
                used,
                "members of the scheduler's state that other packages use");
    }

    /** Whether a class is in a package below the scheduler, except the interface and enums. */
    private static boolean isSchedulerState(JavaClass javaClass) {
        return resideInAnyPackage(SCHEDULER + ".*..").test(javaClass)
                && !resideInAnyPackage(SCHEDULER + ".spi").test(javaClass)
                && !javaClass.isEnum();
    }

    /**
     * Guards against start commands outside of heartbeat responses, which a worker may execute late
     * or once more.
     */
    @Test
    void onlyHeartbeatResponsesStartTasks() {
        noClasses()
                .that()
                .doNotHaveSimpleName("HeartbeatResponder")
                .should()
                .callConstructor(WorkerCommand.Start.class, String.class, int.class, long.class)
                .check(CLASSES);
    }

    @Test
    void fieldNamesStayInTheWirePackage() {
        fields().that()
                .areDeclaredInClassesThat(
                        resideInAnyPackage(WIRE + "..").and(not(equivalentTo(HttpExchanges.class))))
                .and()
                .areStatic()
                .and()
                .haveRawType(String.class)
                .should()
                .notBePublic()
                .because("other packages use the codecs, not the field names of messages")
                .check(CLASSES);
    }

    @Test
    void jacksonStaysInCodecs() {
        Set<String> users = new TreeSet<>();
        for (JavaClass javaClass : CLASSES) {
            if (!resideInAnyPackage(CODEC_PACKAGES).test(javaClass) && usesJackson(javaClass)) {
                users.add(outermost(javaClass).getName().substring(ROOT.length() + 1));
            }
        }
        Set<String> added = new TreeSet<>(users);
        added.removeAll(USE_JACKSON_OUTSIDE_CODECS);
        Set<String> obsolete = new TreeSet<>(USE_JACKSON_OUTSIDE_CODECS);
        obsolete.removeAll(users);
        assertAll(
                () ->
                        assertEquals(
                                Set.of(),
                                added,
                                "classes outside the codec packages that newly use Jackson; encode"
                                        + " and decode their messages in a codec"),
                () ->
                        assertEquals(
                                Set.of(),
                                obsolete,
                                "listed classes that do not use Jackson; remove them from"
                                        + " USE_JACKSON_OUTSIDE_CODECS"));
    }

    /** Whether a class uses a Jackson type, or calls a method that accepts or returns one. */
    private static boolean usesJackson(JavaClass javaClass) {
        return javaClass.getDirectDependenciesFromSelf().stream()
                        .anyMatch(dependency -> isOfJackson(dependency.getTargetClass()))
                || javaClass.getCodeUnitCallsFromSelf().stream()
                        .map(JavaCall::getTarget)
                        .anyMatch(
                                target ->
                                        isOfJackson(target.getRawReturnType())
                                                || target.getRawParameterTypes().stream()
                                                        .anyMatch(ArchitectureTest::isOfJackson));
    }

    private static boolean isOfJackson(JavaClass javaClass) {
        return resideInAnyPackage(JACKSON).test(javaClass);
    }

    private static JavaClass outermost(JavaClass javaClass) {
        return javaClass.getEnclosingClass().map(ArchitectureTest::outermost).orElse(javaClass);
    }
}
