/**
 * Settings in JSON with comments: reading with file and line, merging a folder, checking it whole, and comparing two.
 *
 * <p>Every mistake of a folder or file is reported at once, see {@link org.tarragonarch.settings.MistakeCollector}.
 */
package org.tarragonarch.settings;
