/**
 * Shares of a pool's capacity: their use, their allotments under the demand of all shares, and the expected waits of
 * their jobs.
 */
package org.tarragonarch.core.share;
