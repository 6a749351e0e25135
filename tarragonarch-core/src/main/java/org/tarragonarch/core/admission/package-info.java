/** Whether a submission is taken, and when a refused caller should come back. */
package org.tarragonarch.core.admission;
