/** A client of the caller API, for trying a service. */
package org.tarragonarch.ctl.submit;
