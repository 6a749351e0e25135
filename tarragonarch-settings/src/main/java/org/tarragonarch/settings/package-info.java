/**
 * Settings in JSON with comments: parsing with file and line, merging, checking and comparing configurations.
 *
 * <p>All mistakes of a folder or file are reported together, see {@link org.tarragonarch.settings.MistakeCollector}.
 */
package org.tarragonarch.settings;
