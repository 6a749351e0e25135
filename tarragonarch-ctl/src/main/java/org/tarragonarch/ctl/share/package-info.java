/** The shares of nodes on the users' platform, as their metrics show them. */
package org.tarragonarch.ctl.share;
