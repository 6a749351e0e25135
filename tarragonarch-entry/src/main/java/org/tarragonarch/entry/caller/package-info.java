/** The API that callers use: requests and jobs in, one whole answer out. */
package org.tarragonarch.entry.caller;
