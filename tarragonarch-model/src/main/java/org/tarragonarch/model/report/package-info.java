/** What entry nodes tell each other. */
package org.tarragonarch.model.report;
