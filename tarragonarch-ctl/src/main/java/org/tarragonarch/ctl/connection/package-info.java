/** Addresses and credentials for the calls of the operator program. */
package org.tarragonarch.ctl.connection;
