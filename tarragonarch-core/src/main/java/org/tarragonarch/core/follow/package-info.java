/** Keeping up with tables of the platform's store through outages and lost history. */
package org.tarragonarch.core.follow;
