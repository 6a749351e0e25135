package org.tarragonarch.model.store;

/** The tables of the store that a node uses. */
public enum StoreTable {
    /** The rows written by operators, such as the configuration. */
    OPERATOR,
    /** The entries of the endpoints, written by themselves. */
    ENDPOINTS,
    /** The addresses by which entry nodes find each other. */
    NODES,
    /** The jobs that clients have cancelled lately, written by the entry nodes. */
    CANCELLATIONS
}
