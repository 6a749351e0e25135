/** The calls to the platform that the core asks for, made on threads of their own. */
package org.tarragonarch.entry.platform;
