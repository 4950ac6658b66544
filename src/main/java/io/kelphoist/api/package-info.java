/**
 * The HTTP user API: decodes requests, passes them to {@code admission}, and translates the results
 * into HTTP statuses and bodies.
 *
 * <p>It owns no state and makes no decisions. It uses {@code admission} and {@code wire}, and must
 * not depend on the scheduler, the state store or leadership. The gRPC user API is in {@code grpc}.
 * All code of the package runs on the controller's event loop.
 */
package io.kelphoist.api;
