/** The lifecycle of a node. */
package org.tarragonarch.core.lifecycle;
