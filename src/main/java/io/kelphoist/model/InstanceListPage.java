package io.kelphoist.model;

import java.util.List;

/**
 * A page of the cloud's instance list, which is sorted by name. It lists all instances that existed
 * at some point in time and whose names come after {@code afterName}, up to the last name on the
 * page; the last page lists all remaining instances.
 *
 * @param afterName the last name of the preceding page; empty for the first page
 */
public record InstanceListPage(String afterName, boolean lastPage, List<CloudInstance> instances) {}
