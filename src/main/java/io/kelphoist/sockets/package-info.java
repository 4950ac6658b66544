/**
 * How a controller divides the sockets that it may open between kinds of connections. Owns no
 * state, performs no I/O and depends on no other package.
 */
package io.kelphoist.sockets;
