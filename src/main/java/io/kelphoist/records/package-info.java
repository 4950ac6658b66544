/**
 * Packing of many small entries into few values of the state store.
 *
 * <p>Owns which entry is on which page, which entries the stored value of each page holds, and
 * which writes are in flight. The package is independent of the type, encoding and storage of
 * entries: the scheduler supplies the entries, their sizes and the writer. It depends on no other
 * package of the project and runs on the thread that calls the scheduler.
 */
package io.kelphoist.records;
