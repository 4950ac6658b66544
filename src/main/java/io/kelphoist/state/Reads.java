package io.kelphoist.state;

import java.util.function.Consumer;

/** What can be read at the state service. */
public interface Reads {
    void get(String key, Consumer<StateClient.Result> handler);

    /** All items below a prefix. Null: it could not be read. */
    void range(String prefix, Consumer<StateClient.Range> handler);

    /** What has changed below a prefix after a revision, at once. */
    void changes(String prefix, long after, Consumer<StateClient.Result> handler);
}
