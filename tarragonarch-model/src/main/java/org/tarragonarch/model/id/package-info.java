/**
 * Value types for the names and numbers by which things are known.
 *
 * <p>Those that nodes keep in maps write out {@code equals} and {@code hashCode}, here and in {@code model.task}: the
 * first use of generated ones costs a node that was just started some of its first second, and its clients wait for it.
 */
package org.tarragonarch.model.id;
