/**
 * Formatting of log events for the operators. {@code logback.xml} names its appender. Depends only
 * on the logging library, and is called on any thread that logs.
 */
package io.kelphoist.logs;
