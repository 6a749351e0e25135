/** The share metrics of nodes on the users' platform. */
package org.tarragonarch.ctl.share;
