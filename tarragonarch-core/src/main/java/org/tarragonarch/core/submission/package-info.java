/** Submissions, their tasks, and the dispatch of tasks to endpoints. */
package org.tarragonarch.core.submission;
