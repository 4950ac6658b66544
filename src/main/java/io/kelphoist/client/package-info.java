/**
 * Client library of the gRPC service for users' programs. It retries failed calls and resumes
 * interrupted streams. It depends only on the generated gRPC classes and loads no classes of a
 * controller. Calls block.
 */
package io.kelphoist.client;
