/** Estimation of the run times of tasks from those that succeeded. */
package org.tarragonarch.core.runtime;
