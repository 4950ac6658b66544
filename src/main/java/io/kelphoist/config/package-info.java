/**
 * Settings files: the platform's ({@link io.kelphoist.config.PlatformSettings}) and the operators'
 * ({@link io.kelphoist.config.OperatorSettings}).
 *
 * <p>Settings are immutable values that are read once at start. The errors of their readers name
 * the invalid field. The names of fields in the files are fixed. Of the code that reads settings,
 * only the readers contain them. The package depends on the model and on the socket budget, and
 * must not depend on any other part of the controller.
 */
package io.kelphoist.config;
