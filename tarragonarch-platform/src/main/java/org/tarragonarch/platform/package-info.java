/** The platform module. */
package org.tarragonarch.platform;
