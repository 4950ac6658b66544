/**
 * The controller process: its composition root, its event loop, its HTTP routes and its metrics.
 *
 * <p>{@code ControllerFactory} creates and connects the components of a controller, {@code
 * Controller} starts and ticks them, and {@code ControllerProcess} owns the sockets and threads
 * around them. The state of jobs, machines and leadership belongs to other packages. Only the
 * command line, with its local cluster, and the training run of the class archive may depend on
 * this package.
 *
 * <p>Code runs on the event loop unless its documentation says otherwise. {@code ControllerProcess}
 * is called from outside the event loop. {@code JobEventFeed} and its components hand tasks over to
 * the event thread, and some of their methods may be called on any thread.
 */
package io.kelphoist.controller;
