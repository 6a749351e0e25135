/** A client of the nodes' administration API. */
package org.tarragonarch.ctl.admin;
