/** What a caller is told: outcomes, problems, and the errors that carry step and peer. */
package org.tarragonarch.model.outcome;
