/** Where the operator program finds nodes and the platform, and in whose name it calls them. */
package org.tarragonarch.ctl.connection;
