/**
 * Shares of a pool's capacity: what each has in use, what it may use while others want theirs, and how long a job of it
 * would wait.
 */
package org.tarragonarch.core.share;
