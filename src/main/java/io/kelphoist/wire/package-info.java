/**
 * Messages to and from users, workers and the cloud, and HTTP for requests that are sent and
 * served.
 *
 * <p>{@link io.kelphoist.wire.JobCodec}, {@link io.kelphoist.wire.WorkerCodec} and {@link
 * io.kelphoist.wire.CloudCodec} convert between messages and the types of the model; the field
 * names of these messages occur only in this package. {@link io.kelphoist.wire.HttpHostClient}
 * sends requests to one host, {@link io.kelphoist.wire.HttpExchanges} reads requests that the
 * controller serves and responds to them.
 *
 * <p>The package owns pooled connections and calls in flight. It depends only on the model. The
 * codecs are stateless; the HTTP classes run on the I/O thread.
 */
package io.kelphoist.wire;
