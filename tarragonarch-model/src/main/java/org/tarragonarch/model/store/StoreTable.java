package org.tarragonarch.model.store;

/** The tables that a node uses. */
public enum StoreTable {
    /** The operators' orders, the configuration among them. */
    OPERATOR,
    /** The endpoints' own entries. */
    ENDPOINTS,
    /** The entry nodes' addresses, by which they find each other. */
    NODES
}
