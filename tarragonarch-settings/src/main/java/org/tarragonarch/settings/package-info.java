/** The settings module. */
package org.tarragonarch.settings;
