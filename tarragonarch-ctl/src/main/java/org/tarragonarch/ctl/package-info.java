/** The operator program {@code tarragonctl}: checks, applies and rolls back configurations, and operates nodes. */
package org.tarragonarch.ctl;
