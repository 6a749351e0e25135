/** The reports and statuses that entry nodes exchange. */
package org.tarragonarch.model.report;
