/** The phases of a node from start to leaving. */
package org.tarragonarch.core.lifecycle;
