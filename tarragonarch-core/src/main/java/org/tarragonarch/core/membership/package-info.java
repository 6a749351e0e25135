/** Which nodes are alive, and what is reported to them. */
package org.tarragonarch.core.membership;
