/** What a caller gets: outcomes, problems, and the errors that carry step and peer. */
package org.tarragonarch.model.outcome;
