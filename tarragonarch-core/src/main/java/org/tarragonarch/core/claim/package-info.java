/** Idempotency keys and the claims on them, which are written to the table service in batches. */
package org.tarragonarch.core.claim;
