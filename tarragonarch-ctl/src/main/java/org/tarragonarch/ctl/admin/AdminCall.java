package org.tarragonarch.ctl.admin;

/** A call to the administration API of a node. */
@FunctionalInterface
public interface AdminCall<T> {
    /**
     * Calls the node.
     *
     * @throws AdminException if the node refuses the call or gives no valid answer
     */
    T call(AdminClient client) throws AdminException;
}
