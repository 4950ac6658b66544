/**
 * Client of the cloud's HTTP interface: machine types, scale out, scale in and the instance list,
 * within the cloud's request limit. Which machines are needed is decided by the autoscaler, not
 * here. Depends on {@code model} for its types and on {@code wire} for encoding. Everything runs on
 * the controller's event loop.
 */
package io.kelphoist.cloud;
