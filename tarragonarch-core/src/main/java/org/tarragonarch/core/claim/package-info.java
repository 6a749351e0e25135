/** Claims on idempotency keys, written in group commits. */
package org.tarragonarch.core.claim;
