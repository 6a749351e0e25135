/** Submissions and tasks, and the states they pass through. */
package org.tarragonarch.core.submission;
