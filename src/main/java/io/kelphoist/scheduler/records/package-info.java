/**
 * The records that the scheduler stores besides jobs: starts ({@link
 * io.kelphoist.scheduler.records.StartIntentLog}), done tasks ({@link
 * io.kelphoist.scheduler.records.ProgressRecords}) and cached images ({@link
 * io.kelphoist.scheduler.records.ImageCacheRecords}), each packed into pages.
 *
 * <p>Owns which entry is on which page and which pages are still to be written; requests writes
 * from {@code SchedulerOutput}. Depends on {@code cluster}, {@code images}, {@code spi} and {@code
 * io.kelphoist.records}, and must not depend on packages that make scheduling decisions.
 */
package io.kelphoist.scheduler.records;
