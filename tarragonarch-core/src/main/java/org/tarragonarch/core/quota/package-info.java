/** How many tasks of a team may run at once on this node. */
package org.tarragonarch.core.quota;
