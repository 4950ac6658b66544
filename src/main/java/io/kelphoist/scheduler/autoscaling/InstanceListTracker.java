package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.InstanceListPage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Determines from the pages of the cloud's instance lists which instances are terminated. Each page
 * lists all instances, in a range of names, that existed at one time. Once an instance has been
 * listed, it stays listed until it is terminated. Pages are delayed, however, and a page may
 * describe an earlier time than a page received before it. An instance that is missing from a page
 * whose range contains its name is therefore taken as terminated only if the page describes a later
 * time than all pages that listed the instance.
 *
 * <p>A page does not state which time it describes. That time is computed from the ages of the
 * instances on the page that earlier pages listed too. It is measured on the clock of the pages,
 * which is zero at the time that the first page with instances describes. A later page that lists
 * no recorded instance is ignored, because its time cannot be computed.
 *
 * <p>Instance lists are needed because the cloud terminates spot instances without notice, and a
 * worker lease takes several times as long to expire as the lists are delayed.
 */
final class InstanceListTracker {
    /** The precision of the ages on the pages. */
    private static final double AGE_PRECISION_SECONDS = 0.5;

    /**
     * An instance that was listed. Times are on the clock of the pages.
     *
     * @param createdAtSeconds when the instance was created
     * @param lastListedAtSeconds the latest time that a page with the instance describes
     */
    private record ListedInstance(double createdAtSeconds, double lastListedAtSeconds) {}

    private final TreeMap<String, ListedInstance> instancesByName = new TreeMap<>();

    /**
     * Records the instances of a page, and removes the records of instances that the page proves to
     * be terminated.
     *
     * @return the names of the instances that the page proves to be terminated; empty if the time
     *     of the page cannot be computed, in which case nothing is recorded
     */
    List<String> applyPage(InstanceListPage page) {
        double pageAtSeconds = pageTime(page);
        if (Double.isNaN(pageAtSeconds)) {
            return List.of();
        }
        Set<String> listedNames = new HashSet<>();
        for (CloudInstance instance : page.instances()) {
            listedNames.add(instance.name());
            recordListed(instance, pageAtSeconds);
        }
        List<String> terminated = new ArrayList<>();
        instancesInRange(page)
                .forEach(
                        (name, listed) -> {
                            double lastListed = listed.lastListedAtSeconds;
                            if (!listedNames.contains(name)
                                    && pageAtSeconds > lastListed + AGE_PRECISION_SECONDS) {
                                terminated.add(name);
                            }
                        });
        terminated.forEach(instancesByName::remove);
        return terminated;
    }

    private void recordListed(CloudInstance instance, double pageAtSeconds) {
        ListedInstance previous = instancesByName.get(instance.name());
        ListedInstance updated =
                previous == null
                        ? new ListedInstance(pageAtSeconds - instance.ageSeconds(), pageAtSeconds)
                        : new ListedInstance(
                                previous.createdAtSeconds,
                                Math.max(previous.lastListedAtSeconds, pageAtSeconds));
        instancesByName.put(instance.name(), updated);
    }

    /** The recorded instances whose names are in the range of names that the page covers. */
    private Map<String, ListedInstance> instancesInRange(InstanceListPage page) {
        if (page.lastPage()) {
            return instancesByName.tailMap(page.afterName(), false);
        }
        String lastName = page.instances().get(page.instances().size() - 1).name();
        return instancesByName.subMap(page.afterName(), false, lastName, true);
    }

    /**
     * The time that a page describes, on the clock of the pages: the earliest of the times implied
     * by the ages of those of its instances that are recorded; 0 for the first page with instances.
     * NaN for another page if none of its instances is recorded.
     */
    private double pageTime(InstanceListPage page) {
        if (instancesByName.isEmpty() && !page.instances().isEmpty()) {
            return 0;
        }
        double pageAtSeconds = Double.NaN;
        for (CloudInstance instance : page.instances()) {
            ListedInstance listed = instancesByName.get(instance.name());
            if (listed != null) {
                double impliedAtSeconds = listed.createdAtSeconds + instance.ageSeconds();
                pageAtSeconds =
                        Double.isNaN(pageAtSeconds)
                                ? impliedAtSeconds
                                : Math.min(pageAtSeconds, impliedAtSeconds);
            }
        }
        return pageAtSeconds;
    }
}
