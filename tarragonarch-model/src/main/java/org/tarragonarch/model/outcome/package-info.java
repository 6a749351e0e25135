/** The results of submissions: outcomes, problems, and exceptions that carry a step and a peer. */
package org.tarragonarch.model.outcome;
