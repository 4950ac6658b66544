/**
 * Training run for the class archive (application class-data sharing) that the build creates. It
 * runs only in the build. No other package may depend on it, except the command line, whose hidden
 * option starts it.
 *
 * <p>{@link io.kelphoist.archive.ClassArchiveTraining} starts a controller and sends requests to
 * it. {@code ClassArchiveTrainingServer} emulates the external systems and the other controller; it
 * owns the stored items and the machines, which its synchronized methods use.
 */
package io.kelphoist.archive;
