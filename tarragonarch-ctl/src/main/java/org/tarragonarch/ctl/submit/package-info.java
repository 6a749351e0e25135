/** A client of the caller API, for trying out a service. */
package org.tarragonarch.ctl.submit;
