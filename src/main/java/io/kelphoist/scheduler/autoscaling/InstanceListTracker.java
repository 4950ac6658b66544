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
 * Determines from the cloud's instance lists which instances are terminated. Once an instance has
 * been listed, it stays listed until it is terminated. Lists are delayed, however, and a list may
 * be older than the one received before it. An instance that is missing from a list is therefore
 * taken as terminated only if the list describes a later time than a list that contained it.
 *
 * <p>A list does not state which time it describes. That time is computed from the ages of the
 * instances that the list shares with earlier lists. It is measured on a clock of the lists, which
 * is zero at the time that the first page described.
 *
 * <p>Lists are needed because the cloud terminates spot instances without notice, and a worker
 * lease takes several times as long to expire as lists are delayed.
 */
final class InstanceListTracker {
    /** The precision of the ages in instance lists. */
    private static final double AGE_PRECISION_SECONDS = 0.5;

    /**
     * An instance that was listed. Times are on the clock of the lists.
     *
     * @param createdAtSeconds when the instance was created
     * @param lastListedAtSeconds the latest time that a list containing the instance described
     */
    private record ListedInstance(double createdAtSeconds, double lastListedAtSeconds) {}

    private final TreeMap<String, ListedInstance> instancesByName = new TreeMap<>();

    /**
     * Records the instances of a page, and returns the names of instances that the page proves to
     * be terminated.
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
     * The time that a page describes, on the clock of the lists: the earliest of the times implied
     * by the ages of the instances that it shares with earlier lists; 0 for the first page. NaN if
     * the page shares no instance with earlier lists.
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
