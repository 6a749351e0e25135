/** Admission of submissions, and retry times for refused callers. */
package org.tarragonarch.core.admission;
