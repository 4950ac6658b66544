package io.kelphoist.model;

import java.util.List;

/** Result of a {@link ScaleOutRequest}. */
public sealed interface ScaleOutResult {
    /**
     * The cloud granted machines, possibly fewer than requested.
     *
     * @param machineNames names of the granted machines
     */
    record Granted(List<String> machineNames) implements ScaleOutResult {}

    /** The cloud refused the request: it has no capacity, or it does not accept such a request. */
    record Refused() implements ScaleOutResult {}

    /**
     * The outcome is unknown, because there was no usable response or the request was not sent. The
     * cloud may have granted machines.
     */
    record Unknown() implements ScaleOutResult {}
}
