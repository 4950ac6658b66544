package io.kelphoist.controller;

import com.google.protobuf.ByteString;
import io.kelphoist.grpc.v1.WatchResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records the events that one client receives, and the cursor from which it would resume. */
final class RecordedEvents {
    /** The received events as "JOB TYPE", in the order of arrival. */
    final List<String> events = new ArrayList<>();

    /** The number of final events received, by job. */
    final Map<String, Integer> finalCounts = new ConcurrentHashMap<>();

    /** The cursor of the last message; empty before the first one. */
    ByteString cursor = ByteString.EMPTY;

    /** Records a message. Returns true, which makes the client continue to read. */
    boolean add(WatchResponse message) {
        cursor = message.getCursor();
        if (message.hasEvent()) {
            events.add(message.getEvent().getJob() + " " + typeOf(message));
            if (isFinal(message)) {
                finalCounts.merge(message.getEvent().getJob(), 1, Integer::sum);
            }
        }
        return true;
    }

    /** Returns the name of the event's type; "state" for a message about the stream's state. */
    static String typeOf(WatchResponse message) {
        return message.hasState() ? "state" : message.getEvent().getWhatCase().name();
    }

    private static boolean isFinal(WatchResponse message) {
        return message.getEvent().hasDoneEvent() || message.getEvent().hasCancelled();
    }
}
