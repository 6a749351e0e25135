/** The standin module. */
package org.tarragonarch.standin;
