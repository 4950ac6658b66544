/**
 * Training run for the class archive (application class-data sharing) that the build creates. It
 * runs only in the build. No other package may depend on it, except the command line, whose hidden
 * option starts it.
 */
package io.kelphoist.archive;
