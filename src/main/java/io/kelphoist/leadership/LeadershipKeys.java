package io.kelphoist.leadership;

import io.kelphoist.statestore.protocol.LeaderRecord;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.Optional;

/**
 * The leader key and the term key, both below {@link StateStoreKeys#LEADERSHIP_PREFIX}, as of one
 * revision.
 *
 * @param revision revision of the state store at which the keys were read
 * @param leader the leader that the leader key names; empty if the key is absent
 * @param lastTerm number of the newest term; 0 if no term is stored
 * @param termVersion version of the term key; {@link VersionCondition#ABSENT} if it is absent
 */
record LeadershipKeys(
        long revision, Optional<LeaderRecord> leader, long lastTerm, long termVersion) {
    static LeadershipKeys of(StateSnapshot snapshot) {
        Optional<LeaderRecord> leader = Optional.empty();
        long lastTerm = 0;
        long termVersion = VersionCondition.ABSENT;
        for (StoredRecord record : snapshot.records()) {
            if (record.key().equals(StateStoreKeys.TERM)) {
                lastTerm = RecordCodec.decodeLeader(record).term();
                termVersion = record.version();
            } else if (record.key().equals(StateStoreKeys.LEADER)) {
                leader = Optional.of(RecordCodec.decodeLeader(record));
            }
        }
        return new LeadershipKeys(snapshot.revision(), leader, lastTerm, termVersion);
    }
}
