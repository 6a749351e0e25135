/** The wire module. */
package org.tarragonarch.wire;
