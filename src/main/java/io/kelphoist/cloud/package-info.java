/**
 * Client of the cloud's HTTP interface: machine types, scale out, scale in and the instance list,
 * within the cloud's request limit. Which machines are needed is decided by the autoscaler, not
 * here. Owns the rate limiter of the requests. Depends on {@code model} for its types, on {@code
 * wire} for encoding, on {@code eventloop}, and on {@code statestore} for the token bucket of the
 * rate limiter. Everything runs on the controller's event loop.
 */
package io.kelphoist.cloud;
