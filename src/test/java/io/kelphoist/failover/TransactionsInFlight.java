package io.kelphoist.failover;

import io.kelphoist.statestore.StateStoreWriter;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.VersionCondition;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Transactions on their way to the state store. While they are held, none arrives and none gets a
 * response; then the test decides which of them arrive.
 */
final class TransactionsInFlight {
    private record Transaction(List<VersionCondition> conditions, List<RecordMutation> mutations) {}

    private final List<Transaction> held = new ArrayList<>();
    private boolean holding;

    /** Returns a writer whose transactions are held when {@link #hold} was called. */
    StateStoreWriter writerTo(StateStoreWriter target) {
        return (conditions, mutations, handler) -> send(target, conditions, mutations, handler);
    }

    private void send(
            StateStoreWriter target,
            List<VersionCondition> conditions,
            List<RecordMutation> mutations,
            Consumer<StateStoreResult<Long>> handler) {
        if (holding) {
            held.add(new Transaction(conditions, mutations));
        } else {
            target.commit(conditions, mutations, handler);
        }
    }

    /** From now on, transactions are held. */
    void hold() {
        holding = true;
    }

    /**
     * Lets some of the held transactions arrive and drops the others. The senders get no response,
     * and from now on no transactions are held.
     *
     * @param store the state store, which has received them whatever becomes of their senders
     * @param subset the transaction sent as number i, from 0, arrives if bit i is set
     */
    void deliver(StateStoreWriter store, long subset) {
        holding = false;
        for (int i = 0; i < held.size(); i++) {
            if ((subset >> i & 1) != 0) {
                Transaction transaction = held.get(i);
                store.commit(transaction.conditions, transaction.mutations, result -> {});
            }
        }
        held.clear();
    }
}
