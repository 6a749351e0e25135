package org.tarragonarch.ctl.admin;

/** One question to one node. */
@FunctionalInterface
public interface AdminCall<T> {
    /**
     * Asks the node.
     *
     * @throws AdminException if it gave no usable answer
     */
    T call(AdminClient client) throws AdminException;
}
