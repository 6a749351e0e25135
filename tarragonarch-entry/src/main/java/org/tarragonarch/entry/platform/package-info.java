/** The platform calls that the core requests, made on separate threads. */
package org.tarragonarch.entry.platform;
