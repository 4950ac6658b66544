/**
 * Client library of the gRPC service for users' programs. It retries failed calls and resumes
 * interrupted streams. It depends only on the generated gRPC classes and loads no classes of a
 * controller. {@link io.kelphoist.client.KelphoistClient} owns its channels. Its calls block, and
 * only one thread at a time may use it.
 */
package io.kelphoist.client;
