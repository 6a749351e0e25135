/** Following the changes of tables in the platform's store, through outages and lost history. */
package org.tarragonarch.core.follow;
