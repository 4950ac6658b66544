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
import io.kelphoist.wire.HttpExchanges;
import java.io.Serializable;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which packages may depend on which, and where the words of the wire may occur. */
class ArchitectureTest {
    private static final String ROOT = "io.kelphoist";

    /** The pure part: decisions without input or output. */
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
     * The packages below {@link #SCHEDULER}, lowest first: each may use those before it, none may
     * use those after it or the scheduler's entry.
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
     * What packages outside the scheduler may call of its state: they read it. Members that change
     * it are public only for the scheduler's own packages.
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
     * Classes outside the codec packages that use Jackson. This list only gets shorter: move a
     * class's encoding to a codec and take the class out; add none.
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
                        "the scheduler's decisions depend on its inputs alone; do input and"
                                + " output in the packages that call it")
                .check(CLASSES);
    }

    @Test
    void packagesFormNoCycles() {
        slices().matching(ROOT + ".(*)..")
                .should()
                .beFreeOfCycles()
                .because("a package in a cycle cannot be read or changed on its own")
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
                    .because("the scheduler's packages are read from the lowest to the entry")
                    .check(CLASSES);
        }
    }

    @Test
    void allSchedulerPackagesHaveTheirPlaceInTheOrder() {
        Set<String> found = new TreeSet<>();
        for (JavaClass each : CLASSES) {
            if (each.getPackageName().startsWith(SCHEDULER + ".")) {
                found.add(each.getPackageName().substring(SCHEDULER.length() + 1));
            }
        }
        assertEquals(new TreeSet<>(SCHEDULER_PACKAGES), found);
    }

    @Test
    void otherPackagesOnlyReadTheStateOfTheScheduler() {
        Set<String> used = new TreeSet<>();
        for (JavaClass each : CLASSES) {
            if (!resideInAnyPackage(SCHEDULER + "..").test(each)) {
                for (JavaAccess<?> access : each.getAccessesFromSelf()) {
                    JavaClass owner = access.getTargetOwner();
                    if (isSchedulerState(owner)) {
                        used.add(owner.getSimpleName() + "." + access.getTarget().getName());
                    }
                }
            }
        }
        assertEquals(new TreeSet<>(SCHEDULER_STATE_READ_OUTSIDE), used);
    }

    /** Whether a class is below the scheduler's entry, and neither of its interface nor an enum. */
    private static boolean isSchedulerState(JavaClass each) {
        return resideInAnyPackage(SCHEDULER + ".*..").test(each)
                && !resideInAnyPackage(SCHEDULER + ".spi").test(each)
                && !each.isEnum();
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
                .because("other packages use the codecs, not the words on the wire")
                .check(CLASSES);
    }

    @Test
    void jacksonStaysInCodecs() {
        Set<String> users = new TreeSet<>();
        for (JavaClass each : CLASSES) {
            if (!resideInAnyPackage(CODEC_PACKAGES).test(each) && usesJackson(each)) {
                users.add(outermost(each).getName().substring(ROOT.length() + 1));
            }
        }
        Set<String> added = new TreeSet<>(users);
        added.removeAll(USE_JACKSON_OUTSIDE_CODECS);
        Set<String> mended = new TreeSet<>(USE_JACKSON_OUTSIDE_CODECS);
        mended.removeAll(users);
        assertAll(
                () ->
                        assertEquals(
                                Set.of(),
                                added,
                                "use Jackson outside the codec packages; read and write their"
                                        + " messages in a codec"),
                () ->
                        assertEquals(
                                Set.of(),
                                mended,
                                "do not use Jackson (any more); take them out of"
                                        + " USE_JACKSON_OUTSIDE_CODECS"));
    }

    /** Whether a class names a Jackson type, or calls what takes or returns one. */
    private static boolean usesJackson(JavaClass each) {
        return each.getDirectDependenciesFromSelf().stream()
                        .anyMatch(dependency -> isOfJackson(dependency.getTargetClass()))
                || each.getCodeUnitCallsFromSelf().stream()
                        .map(JavaCall::getTarget)
                        .anyMatch(
                                target ->
                                        isOfJackson(target.getRawReturnType())
                                                || target.getRawParameterTypes().stream()
                                                        .anyMatch(ArchitectureTest::isOfJackson));
    }

    private static boolean isOfJackson(JavaClass each) {
        return resideInAnyPackage(JACKSON).test(each);
    }

    private static JavaClass outermost(JavaClass each) {
        return each.getEnclosingClass().map(ArchitectureTest::outermost).orElse(each);
    }
}
