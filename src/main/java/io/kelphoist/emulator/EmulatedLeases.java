package io.kelphoist.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the leases of an emulated state store. Not thread-safe; guarded by the monitor of the {@link
 * EmulatedStateStore}.
 */
final class EmulatedLeases {
    private record Lease(long ttlMillis, long expiresAtMillis) {
        Lease renewed(long nowMillis) {
            return new Lease(ttlMillis, nowMillis + ttlMillis);
        }
    }

    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastId;

    /** Creates a lease, which expires after its time to live unless renewed, and returns its id. */
    long create(long ttlMillis, long nowMillis) {
        leases.put(++lastId, new Lease(ttlMillis, nowMillis + ttlMillis));
        return lastId;
    }

    boolean contains(long id) {
        return leases.containsKey(id);
    }

    /** Renews a lease; has no effect if there is no such lease. */
    void renew(long id, long nowMillis) {
        leases.computeIfPresent(id, (key, lease) -> lease.renewed(nowMillis));
    }

    /** Renews all leases, also those that have expired but have not been removed yet. */
    void renewAll(long nowMillis) {
        leases.replaceAll((id, lease) -> lease.renewed(nowMillis));
    }

    void remove(long id) {
        leases.remove(id);
    }

    /** Removes the leases that have expired and returns their ids. */
    List<Long> removeExpired(long nowMillis) {
        List<Long> expired = new ArrayList<>();
        leases.forEach(
                (id, lease) -> {
                    if (lease.expiresAtMillis < nowMillis) {
                        expired.add(id);
                    }
                });
        leases.keySet().removeAll(expired);
        return expired;
    }
}
