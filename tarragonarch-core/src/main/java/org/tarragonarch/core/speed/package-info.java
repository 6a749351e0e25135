/** How fast endpoints are, learned from how long their runs take against what was expected. */
package org.tarragonarch.core.speed;
