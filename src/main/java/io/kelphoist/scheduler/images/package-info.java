/**
 * Container images: their indices and sizes, the images that should be cached on each machine, and
 * the machines that reference an image.
 *
 * <p>Each class owns its state. The package depends only on {@code model}: machines are a type
 * parameter, so that it does not depend on other packages of the scheduler.
 */
package io.kelphoist.scheduler.images;
