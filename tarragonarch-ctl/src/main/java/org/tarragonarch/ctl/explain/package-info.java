/** Explains from the logs of several nodes what happened to a job and why. */
package org.tarragonarch.ctl.explain;
