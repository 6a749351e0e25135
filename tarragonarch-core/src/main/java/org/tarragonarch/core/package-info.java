/** The core module. */
package org.tarragonarch.core;
