package org.tarragonarch.ctl.admin;

/** Reads one item of a list of an answer. */
@FunctionalInterface
interface ItemReader<T> {
    T read(JsonReader item) throws AdminException;
}
