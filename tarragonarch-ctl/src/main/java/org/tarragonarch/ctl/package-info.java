/** The operator program {@code tarragonctl}: checks, applies and undoes configurations, and looks after nodes. */
package org.tarragonarch.ctl;
