package org.tarragonarch.ctl.admin;

/** Converts an item of a JSON list. */
@FunctionalInterface
interface ItemReader<T> {
    T read(JsonReader item) throws AdminException;
}
