/** The API that operators use: status, configuration, audit and drain. */
package org.tarragonarch.entry.admin;
