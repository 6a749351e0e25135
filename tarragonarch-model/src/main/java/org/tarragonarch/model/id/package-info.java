/**
 * Value types for identifiers: names, ids, versions and addresses.
 *
 * <p>The types used as map keys, here and in {@code model.task}, define {@code equals} and {@code hashCode} explicitly:
 * linking the generated methods on first use would delay the first requests to a node that has just started.
 */
package org.tarragonarch.model.id;
