/** How long tasks of a kind take, learnt from those that ended. */
package org.tarragonarch.core.runtime;
